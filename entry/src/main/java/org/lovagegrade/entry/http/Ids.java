package org.lovagegrade.entry.http;

import java.util.regex.Pattern;

/** The format of all ids that users choose. */
final class Ids {
    static final String FORMAT = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit";

    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private Ids() {}

    static boolean isValid(String id) {
        return PATTERN.matcher(id).matches();
    }
}
