package org.lovagegrade.kernel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown at start, when a settings file has faults; carries all of them. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingError> errors;

    /**
     * Creates the exception.
     *
     * @param errors the faults found, at least one
     */
    public SettingsException(List<SettingError> errors) {
        super(errors.stream().map(SettingError::message).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * The faults found.
     *
     * @return an immutable list
     */
    public List<SettingError> errors() {
        return errors;
    }
}
