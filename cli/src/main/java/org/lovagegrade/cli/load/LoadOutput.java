package org.lovagegrade.cli.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.Table;

/** Prints a report as tables or as JSON. */
final class LoadOutput {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LoadOutput() {}

    static void print(LoadReport report, Collection<Grouping> groupings, Session session) {
        ObjectNode json = JSON.createObjectNode();
        for (Grouping grouping : groupings) {
            Map<String, LoadRow> rows = report.rows(grouping);
            ObjectNode tables = json.putObject(grouping.text());
            for (Section section : Section.values()) {
                boolean isEmpty = rows.values().stream().allMatch(row -> row.isEmpty(section));
                if (!isEmpty) {
                    printTable(grouping, section, rows, tables, session);
                }
            }
        }
        session.printJson(json.toString());
    }

    private static void printTable(
            Grouping grouping, Section section, Map<String, LoadRow> rows, ObjectNode tables, Session session) {
        Set<String> columns = new LinkedHashSet<>(section.columns());
        rows.values().forEach(row -> columns.addAll(row.columns(section)));
        ArrayNode table = tables.putArray(section.title());
        rows.forEach((name, row) -> {
            if (row.isEmpty(section)) {
                return;
            }
            ObjectNode line = table.addObject();
            line.put(grouping.text(), name.strip());
            columns.forEach(column -> line.put(column, section.inUnit(row.get(section, column))));
        });
        session.printText(section.title() + " by " + grouping.text());
        columns.add(grouping.text());
        session.printTable(Table.of(columnsInOrder(grouping, columns)), table);
        session.printText("");
    }

    /** The column of the group's name first, then those of its figures. */
    private static String[] columnsInOrder(Grouping grouping, Set<String> columns) {
        Set<String> ordered = new LinkedHashSet<>();
        ordered.add(grouping.text());
        ordered.addAll(columns);
        return ordered.toArray(new String[0]);
    }
}
