package junipercourse.scale.page;

import java.util.List;

/**
 * A least-squares line through points of at least two sizes.
 *
 * @param slope increase per unit of size
 * @param intercept value at size 0
 * @param residual residual standard error with two degrees of freedom subtracted; NaN with just two
 *     points, which the line meets exactly
 * @param exponent of the power law, fitted to the logarithms; NaN if a size or value is not above 0
 * @param minSize smallest size
 * @param maxSize largest size
 * @param sizeCount number of distinct sizes
 */
record LinearFit(
        double slope,
        double intercept,
        double residual,
        double exponent,
        int minSize,
        int maxSize,
        int sizeCount) {
    /** Above this exponent a line underestimates, and the page calls the value a lower bound. */
    private static final double SUPERLINEAR_EXPONENT = 1.2;

    /** Fits pairs of size and value; null with fewer than two sizes. */
    static LinearFit fitPoints(List<double[]> points) {
        int sizes = (int) points.stream().mapToDouble(point -> point[0]).distinct().count();
        if (sizes < 2) {
            return null;
        }
        double[] line = leastSquares(points);
        double squares =
                points.stream()
                        .mapToDouble(point -> Math.pow(point[1] - line[1] - line[0] * point[0], 2))
                        .sum();
        double residual =
                points.size() == 2 ? Double.NaN : Math.sqrt(squares / (points.size() - 2));
        double exponent =
                points.stream().anyMatch(point -> point[0] <= 0 || point[1] <= 0)
                        ? Double.NaN
                        : leastSquares(
                                points.stream()
                                        .map(
                                                point ->
                                                        new double[] {
                                                            Math.log(point[0]), Math.log(point[1])
                                                        })
                                        .toList())[0];
        return new LinearFit(
                line[0],
                line[1],
                residual,
                exponent,
                (int) points.stream().mapToDouble(point -> point[0]).min().orElseThrow(),
                (int) points.stream().mapToDouble(point -> point[0]).max().orElseThrow(),
                sizes);
    }

    private static double[] leastSquares(List<double[]> points) {
        double meanX = points.stream().mapToDouble(point -> point[0]).average().orElseThrow();
        double meanY = points.stream().mapToDouble(point -> point[1]).average().orElseThrow();
        double crossProductSum = 0;
        double squareSum = 0;
        for (double[] point : points) {
            crossProductSum += (point[0] - meanX) * (point[1] - meanY);
            squareSum += (point[0] - meanX) * (point[0] - meanX);
        }
        return new double[] {
            crossProductSum / squareSum, meanY - crossProductSum / squareSum * meanX
        };
    }

    double valueAt(double size) {
        return intercept + slope * size;
    }

    boolean isSuperlinear() {
        return exponent > SUPERLINEAR_EXPONENT;
    }

    /** Returns the size at which the line reaches a value; NaN if it does not rise. */
    double sizeAtValue(double value) {
        return slope > 0 ? (value - intercept) / slope : Double.NaN;
    }
}
