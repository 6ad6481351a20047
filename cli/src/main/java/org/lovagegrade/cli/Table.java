package org.lovagegrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Prints a list of JSON objects as a table.
 *
 * <p>Example: {@code Table.of("id", "state").print(json.path("jobs"), System.out);}
 */
public final class Table {
    private static final String GAP = "  ";

    private final List<String> columns;

    private Table(List<String> columns) {
        this.columns = columns;
    }

    /**
     * Creates a table.
     *
     * @param columns the names of the fields to show, in order
     * @return the table
     */
    public static Table of(String... columns) {
        return new Table(List.of(columns));
    }

    /**
     * Prints the header and one line per row, or {@code (none)} if there are no rows.
     *
     * @param rows a JSON array of objects
     * @param out the output
     */
    public void print(JsonNode rows, PrintStream out) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns.stream().map(name -> name.toUpperCase(Locale.ROOT)).toList());
        rows.forEach(row -> lines.add(
                columns.stream().map(name -> row.path(name).asText("")).toList()));
        List<Integer> widths = new ArrayList<>();
        for (int column = 0; column < columns.size(); column++) {
            int width = 0;
            for (List<String> row : lines) {
                width = Math.max(width, row.get(column).length());
            }
            widths.add(width);
        }
        for (List<String> row : lines) {
            StringBuilder text = new StringBuilder();
            for (int column = 0; column < columns.size(); column++) {
                text.append(row.get(column))
                        .append(" ".repeat(widths.get(column) - row.get(column).length()))
                        .append(GAP);
            }
            out.println(text.toString().stripTrailing());
        }
        if (rows.isEmpty()) {
            out.println("(none)");
        }
    }
}
