package junipercourse.decision;

/** A bucket that fills with time and from which is drawn. */
final class Bucket {
    double level;
    double filledAt = Double.NaN;

    /** Fills up to a depth and takes one if there is one. */
    boolean take(double now, double fill, double depth) {
        level = Double.isNaN(filledAt) ? depth : Math.min(depth, level + fill * (now - filledAt));
        filledAt = now;
        boolean enough = level >= 1;
        level -= enough ? 1 : 0;
        return enough;
    }
}
