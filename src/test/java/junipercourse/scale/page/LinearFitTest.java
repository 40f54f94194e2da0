package junipercourse.scale.page;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests fits of lines and power laws to points with known parameters. */
class LinearFitTest {
    private static List<double[]> points(double... flat) {
        List<double[]> points = new ArrayList<>();
        for (int i = 0; i < flat.length; i += 2) {
            points.add(new double[] {flat[i], flat[i + 1]});
        }
        return points;
    }

    @ParameterizedTest
    @CsvSource({"0, 5", "140, 0", "-3, 9000", "0.001, 2734"})
    void lineThroughExactPointsIsRecovered(double slope, double intercept) {
        LinearFit fit =
                LinearFit.fitPoints(
                        points(
                                45,
                                intercept + 45 * slope,
                                90,
                                intercept + 90 * slope,
                                360,
                                intercept + 360 * slope));
        assertEquals(slope, fit.slope(), 1e-9);
        assertEquals(intercept + 720 * slope, fit.valueAt(720), 1e-6);
        assertEquals(0, fit.residual(), 1e-6);
        assertEquals("45 360 3", fit.minSize() + " " + fit.maxSize() + " " + fit.sizeCount());
    }

    @ParameterizedTest
    @CsvSource({"0, false", "0.5, false", "1, false", "1.5, true", "2, true"})
    void exponentOfAPowerLawIsRecovered(double exponent, boolean superlinear) {
        LinearFit fit =
                LinearFit.fitPoints(
                        points(
                                45,
                                3 * Math.pow(45, exponent),
                                90,
                                3 * Math.pow(90, exponent),
                                720,
                                3 * Math.pow(720, exponent)));
        assertEquals(exponent, fit.exponent(), 1e-9);
        assertEquals(superlinear, fit.isSuperlinear());
    }

    /**
     * Values 1, 2 and 6 at 0, 1 and 2: slope 2.5, intercept 0.5, residuals 0.5, -1 and 0.5, so a
     * squared sum of 1.5 over one degree of freedom.
     */
    @Test
    void residualHasTwoFewerDegreesOfFreedom() {
        LinearFit fit = LinearFit.fitPoints(points(0, 1, 1, 2, 2, 6));
        assertEquals(2.5, fit.slope(), 1e-12);
        assertEquals(0.5, fit.intercept(), 1e-12);
        assertEquals(Math.sqrt(1.5), fit.residual(), 1e-12);
    }

    @Test
    void pointsOfASingleSizeGiveNoFit() {
        assertNull(LinearFit.fitPoints(points()));
        assertNull(LinearFit.fitPoints(points(45, 1)));
        assertNull(LinearFit.fitPoints(points(45, 1, 45, 2, 45, 3)));
    }

    @Test
    void twoPointsGiveNoResidualAndZeroValuesNoExponent() {
        assertTrue(Double.isNaN(LinearFit.fitPoints(points(45, 1, 90, 2)).residual()));
        assertTrue(Double.isNaN(LinearFit.fitPoints(points(45, 0, 90, 2, 180, 3)).exponent()));
    }

    @Test
    void sizeAtValueIsNaNUnlessTheLineRises() {
        assertEquals(60, LinearFit.fitPoints(points(10, 100, 20, 200)).sizeAtValue(600), 1e-9);
        assertTrue(Double.isNaN(LinearFit.fitPoints(points(10, 100, 20, 100)).sizeAtValue(600)));
        assertTrue(Double.isNaN(LinearFit.fitPoints(points(10, 200, 20, 100)).sizeAtValue(600)));
    }

    /** No other line has a smaller sum of squares; the line goes through the mean. */
    @Property(seed = "34", tries = 300)
    void perturbedLinesHaveNoSmallerSquaredError(@ForAll @LongRange(max = 1 << 30) long seed) {
        Random random = new Random(seed);
        List<double[]> points = points(45, random.nextGaussian());
        for (int i = 1 + random.nextInt(8); i >= 0; i--) {
            points.add(new double[] {46 + random.nextInt(700), 1000 * random.nextGaussian()});
        }
        LinearFit fit = LinearFit.fitPoints(points);
        double least = squaredError(points, fit.slope(), fit.intercept());
        for (int i = 0; i < 20; i++) {
            double other =
                    squaredError(
                            points,
                            fit.slope() + random.nextGaussian(),
                            fit.intercept() + 100 * random.nextGaussian());
            assertTrue(least <= other * (1 + 1e-9), "seed " + seed);
        }
    }

    private static double squaredError(List<double[]> points, double slope, double intercept) {
        return points.stream()
                .mapToDouble(point -> Math.pow(point[1] - intercept - slope * point[0], 2))
                .sum();
    }
}
