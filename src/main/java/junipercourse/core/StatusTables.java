package junipercourse.core;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/** The tables that operators query by {@code SHOW name}. Each component adds its own. */
public final class StatusTables {
    private final Map<String, Table> tables = new LinkedHashMap<>();

    /** A table whose rows are produced on each call. */
    public interface Table {
        /** Returns the names of the columns. */
        String[] columns();

        /** Returns all rows: columns separated by a tab, a line feed after each row. */
        byte[] rows();
    }

    /** Collects the rows of a table. */
    public static final class RowWriter {
        private final StringBuilder text = new StringBuilder();

        /** Adds a row; tabs and line breaks in a value are replaced by spaces. */
        public RowWriter add(Object... columns) {
            for (int i = 0; i < columns.length; i++) {
                text.append(i == 0 ? "" : "\t")
                        .append(columns[i].toString().replaceAll("[\t\n\r]", " "));
            }
            text.append('\n');
            return this;
        }
    }

    /** Adds a table; {@code rows} writes its rows whenever it is queried. */
    public void add(String name, Consumer<RowWriter> rows, String... columns) {
        Table previous =
                tables.put(
                        name.toLowerCase(Locale.ROOT),
                        new Table() {
                            @Override
                            public String[] columns() {
                                return columns.clone();
                            }

                            @Override
                            public byte[] rows() {
                                RowWriter writer = new RowWriter();
                                rows.accept(writer);
                                return writer.text.toString().getBytes(StandardCharsets.UTF_8);
                            }
                        });
        if (previous != null) {
            throw new IllegalArgumentException("duplicate status table " + name);
        }
    }

    /** Returns the table of that name, in any case, or null. */
    public Table table(String name) {
        return tables.get(name.toLowerCase(Locale.ROOT));
    }
}
