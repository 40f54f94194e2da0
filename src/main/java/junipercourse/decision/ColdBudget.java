package junipercourse.decision;

import junipercourse.decision.DispatchApi.Guarantees;

/**
 * What rule 4 (WIRE, fail-back) leaves for a cold engine: how warm it is, the work a second that all gateways
 * together may send it, and what one send is charged for. Figures come from the settings' guarantees.
 */
final class ColdBudget {
    private static final double SAFETY = 0.7; // of the budget: work and speed are guesses
    private static final double CHANCE = 3; // deviations kept free in it for sends of other gateways
    private static final double CAPACITY_BUSY = 0.85; // share of cores busy at capacity

    private final Guarantees rules;

    ColdBudget(Guarantees rules) {
        this.rules = rules;
    }

    /** Part of its usual capacity that an engine has so many seconds after its start, at most 1. */
    double warmth(double age) {
        double part = age >= rules.warmWithin() ? 1 : Math.max(0, age / rules.warmWithin());
        return rules.coldFrom() + (1 - rules.coldFrom()) * part;
    }

    /** Work a second, in seconds on one core, that all gateways together may send to so many cores. */
    double fill(double age, double cores) {
        return rules.fallMultiple() * warmth(age) * cores * CAPACITY_BUSY * SAFETY;
    }

    /** Work and what chance adds to it: few heavy sends scatter more than many light ones. */
    double charge(double work, double age, double cores, double ownPart) {
        double most = fill(age, cores) * rules.fallWindow();
        double chance = CHANCE * (1 - ownPart) * Math.sqrt(work / most);
        double part = (Math.sqrt(chance * chance + 4) - chance) / 2;
        return work / (part * part);
    }
}
