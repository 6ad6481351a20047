package org.lovagegrade.state.consensus;

/**
 * The identity of a replica: a permanent name, and an incarnation that changes whenever the replica has lost its disk.
 *
 * <p>Example: {@code ReplicaId.parse("s1#1").name()} is {@code s1}.
 *
 * @param name the name from the settings
 * @param incarnation distinguishes the successive disks of one name
 */
public record ReplicaId(String name, String incarnation) {
    private static final char SEPARATOR = '#';

    /** The incarnation of the initial voters of a group. */
    public static final String FIRST_INCARNATION = "1";

    /**
     * Parses an id.
     *
     * @param text {@code name#incarnation}
     * @return the id
     * @throws IllegalArgumentException if the text isn't a valid id
     */
    public static ReplicaId parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator <= 0) {
            throw new IllegalArgumentException("expected: name#incarnation\n  actual: " + text);
        }
        return new ReplicaId(text.substring(0, separator), text.substring(separator + 1));
    }

    /**
     * Returns the id of an initial voter of a group.
     *
     * @param name the replica's name
     * @return the id with the first incarnation
     */
    public static ReplicaId first(String name) {
        return new ReplicaId(name, FIRST_INCARNATION);
    }

    @Override
    public String toString() {
        return name + SEPARATOR + incarnation;
    }
}
