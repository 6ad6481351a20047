package org.lovagegrade.kernel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a settings file or request body is invalid; carries all errors found. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingError> errors;

    /**
     * Creates the exception.
     *
     * @param errors the errors found, at least one
     */
    public SettingsException(List<SettingError> errors) {
        super(errors.stream().map(SettingError::message).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the errors found.
     *
     * @return an immutable list
     */
    public List<SettingError> errors() {
        return errors;
    }
}
