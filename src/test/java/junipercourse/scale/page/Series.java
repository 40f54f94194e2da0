package junipercourse.scale.page;

import java.util.Locale;

/** Identifies what is measured over sizes: a metric of a scenario in a variant of the code. */
record Series(String suite, String scenario, String metric, String variant) {
    /** Selects one of the two numbers of a line. */
    enum Statistic {
        MEDIAN,
        WORST;

        double of(ResultLine line) {
            return this == MEDIAN ? line.median() : line.worst();
        }

        static Statistic named(String name) {
            return valueOf(name.toUpperCase(Locale.ROOT));
        }
    }

    static Series of(ResultLine line) {
        return new Series(line.suite(), line.scenario(), line.metric(), line.variant());
    }

    @Override
    public String toString() {
        return suite + "/" + scenario + "/" + metric + " (" + variant + ")";
    }
}
