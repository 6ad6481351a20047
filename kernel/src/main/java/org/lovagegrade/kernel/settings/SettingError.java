package org.lovagegrade.kernel.settings;

/**
 * A fault in a settings file: where it is, what was found, what was expected and in which unit.
 *
 * @param file the settings file
 * @param key the dotted path of the key
 * @param found what the file holds
 * @param expected what it should hold, with the unit
 */
public record SettingError(String file, String key, String found, String expected) {
    /**
     * Renders the fault in the fixed layout of all messages.
     *
     * @return a text of four lines
     */
    public String message() {
        return "bad setting\n    file: " + file + "\n     key: " + key + "\n   found: " + found + "\nexpected: "
                + expected;
    }
}
