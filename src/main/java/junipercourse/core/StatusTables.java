package junipercourse.core;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/** What operators may ask for by {@code SHOW name}: each part of the program adds its table. */
public final class StatusTables {
    private final Map<String, Table> tables = new LinkedHashMap<>();

    /** A table as it is now. */
    public interface Table {
        /** The columns' names. */
        String[] columns();

        /** All rows: columns apart by a tab, a line feed after each row. */
        byte[] rows();
    }

    /** Takes the rows of a table. */
    public static final class RowWriter {
        private final StringBuilder text = new StringBuilder();

        /** Adds a row; what would break the rows apart is written as a space. */
        public RowWriter add(Object... columns) {
            for (int i = 0; i < columns.length; i++) {
                text.append(i == 0 ? "" : "\t")
                        .append(columns[i].toString().replaceAll("[\t\n\r]", " "));
            }
            text.append('\n');
            return this;
        }
    }

    /** Adds a table under a name. */
    public void add(String name, Consumer<RowWriter> rows, String... columns) {
        Table before =
                tables.put(
                        name.toLowerCase(Locale.ROOT),
                        new Table() {
                            @Override
                            public String[] columns() {
                                return columns.clone();
                            }

                            @Override
                            public byte[] rows() {
                                RowWriter all = new RowWriter();
                                rows.accept(all);
                                return all.text.toString().getBytes(StandardCharsets.UTF_8);
                            }
                        });
        if (before != null) {
            throw new IllegalArgumentException("two tables " + name);
        }
    }

    /** The table of that name, in any case, or null. */
    public Table table(String name) {
        return tables.get(name.toLowerCase(Locale.ROOT));
    }
}
