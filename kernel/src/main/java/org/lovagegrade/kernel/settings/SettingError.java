package org.lovagegrade.kernel.settings;

/**
 * An invalid value in a settings file or request body: its location, the value found, and what was expected.
 *
 * @param file the name of the settings file or of the source
 * @param key the path of the key, such as {@code replicas[1].name}
 * @param found the value found
 * @param expected the expected value, with its unit
 */
public record SettingError(String file, String key, String found, String expected) {
    /**
     * Renders the error for the operator or the client.
     *
     * @return a heading and four lines: file, key, found, expected
     */
    public String message() {
        return "bad setting\n    file: " + file + "\n     key: " + key + "\n   found: " + found + "\nexpected: "
                + expected;
    }
}
