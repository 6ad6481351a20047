package org.lovagegrade.cli.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The figures of one group, such as a queue. */
final class LoadRow {
    private final Map<Section, Map<String, Long>> figures = new EnumMap<>(Section.class);

    LoadRow() {
        for (Section section : Section.values()) {
            figures.put(section, new TreeMap<>());
        }
    }

    void add(Section section, String column, long amount) {
        figures.get(section).merge(column, amount, Long::sum);
    }

    void set(Section section, String column, long amount) {
        figures.get(section).put(column, amount);
    }

    long get(Section section, String column) {
        return figures.get(section).getOrDefault(column, 0L);
    }

    /** The names of the figures of a section that are not the default. */
    Set<String> columns(Section section) {
        return figures.get(section).keySet();
    }

    boolean isEmpty(Section section) {
        return figures.get(section).isEmpty();
    }
}
