package org.lovagegrade.state.consensus;

/**
 * The identity of a replica: a name that stays, and an incarnation that is new whenever its disk was lost.
 *
 * <p>Example: {@code ReplicaId.parse("s1#1").name()} is {@code s1}.
 *
 * @param name the name from the settings
 * @param incarnation distinguishes the lives of disks under one name
 */
public record ReplicaId(String name, String incarnation) {
    private static final char SEPARATOR = '#';

    /** The incarnation of the replicas with which a fleet is formatted. */
    public static final String FIRST_INCARNATION = "1";

    /**
     * Reads an id.
     *
     * @param text {@code name#incarnation}
     * @return the id
     * @throws IllegalArgumentException if the text is no id
     */
    public static ReplicaId parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator <= 0) {
            throw new IllegalArgumentException("expected: name#incarnation\n  actual: " + text);
        }
        return new ReplicaId(text.substring(0, separator), text.substring(separator + 1));
    }

    /**
     * A replica of a new fleet.
     *
     * @param name its name
     * @return the id
     */
    public static ReplicaId first(String name) {
        return new ReplicaId(name, FIRST_INCARNATION);
    }

    @Override
    public String toString() {
        return name + SEPARATOR + incarnation;
    }
}
