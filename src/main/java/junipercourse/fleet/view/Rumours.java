package junipercourse.fleet.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** News to be passed on with other words, each a bounded number of times; the least passed on goes first. */
final class Rumours {
    private final Map<String, Rumour> rumours = new LinkedHashMap<>();

    private static final class Rumour {
        private final Statement statement;
        private int left;

        Rumour(Statement statement, int left) {
            this.statement = statement;
            this.left = left;
        }

        int left() {
            return left;
        }
    }

    /** One news a name: a newer one takes the older one's place. */
    void add(Statement statement, int passes) {
        Rumour old = rumours.get(statement.name());
        if (old == null || old.left < passes || old.statement.compareTo(statement) < 0) {
            rumours.put(statement.name(), new Rumour(statement, passes));
        }
    }

    void clear() {
        rumours.clear();
    }

    /** Adds to {@code statements} what still fits a word, and counts it as passed on. */
    void fill(List<Statement> statements, int most) {
        if (rumours.isEmpty()) {
            return;
        }
        int bytes = 0;
        for (Statement statement : statements) {
            bytes += statement.bytes();
        }
        List<Rumour> order = new ArrayList<>(rumours.values());
        order.sort(Comparator.comparingInt(Rumour::left).reversed());
        for (Rumour rumour : order) {
            if (statements.size() >= most) {
                break;
            }
            if (bytes + rumour.statement.bytes() <= Word.STATEMENT_BYTES
                    && !statements.contains(rumour.statement)) {
                bytes += rumour.statement.bytes();
                statements.add(rumour.statement);
                rumour.left--;
            }
        }
        for (Iterator<Rumour> all = rumours.values().iterator(); all.hasNext();) {
            if (all.next().left <= 0) {
                all.remove();
            }
        }
    }
}
