package junipercourse.decision.state;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Kaplan-Meier (product-limit) estimator of a survival function from the most recent samples, some
 * of which are censored.
 */
public final class KaplanMeierEstimator {
    private final double[] values;
    private final boolean[] censored;
    private final double[] sortedValues;
    private final double[] survivalAtStep;
    private int totalSamples;
    private int totalSamplesWhenSorted = -1;

    /**
     * Creates an estimator without samples.
     *
     * @param capacity maximum number of samples kept
     */
    public KaplanMeierEstimator(int capacity) {
        values = new double[capacity];
        censored = new boolean[capacity];
        sortedValues = new double[capacity];
        survivalAtStep = new double[capacity];
    }

    /**
     * Adds a sample; at capacity, it replaces the oldest one.
     *
     * @param isCensored true if {@code value} is only a lower bound of the actual value
     */
    public void add(double value, boolean isCensored) {
        int slot = totalSamples++ % values.length;
        values[slot] = value;
        censored[slot] = isCensored;
    }

    /** Returns the number of samples kept. */
    public int size() {
        return Math.min(totalSamples, values.length);
    }

    /** Returns the estimated share of samples above a value; 1 without samples. */
    public double survival(double value) {
        sortIfStale();
        int position = Arrays.binarySearch(sortedValues, 0, size(), value);
        while (position >= 0 && position + 1 < size() && sortedValues[position + 1] == value) {
            position++;
        }
        int step = position >= 0 ? position : -position - 2;
        return step < 0 ? 1 : survivalAtStep[step];
    }

    private void sortIfStale() {
        if (totalSamplesWhenSorted == totalSamples) {
            return;
        }
        totalSamplesWhenSorted = totalSamples;
        int count = size();
        Integer[] order = new Integer[count];
        Arrays.setAll(order, slot -> slot);
        Arrays.sort(order, Comparator.comparingDouble(slot -> values[slot]));
        double survival = 1;
        for (int step = 0; step < count; step++) {
            survival -= censored[order[step]] ? 0 : survival / (count - step);
            sortedValues[step] = values[order[step]];
            survivalAtStep[step] = survival;
        }
    }
}
