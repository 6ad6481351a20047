package org.lovagegrade.state.machine;

import org.lovagegrade.wire.proto.ConfigChangeProto;

/** Names the object that a configuration change affects. */
public final class ConfigObject {
    private ConfigObject() {}

    /**
     * Returns the name of the changed object, as used in author records, conflict details and the audit log.
     *
     * @param change the change
     * @return its kind and id, for example {@code team/norte}, or {@code none/} if nothing is changed
     */
    public static String nameOf(ConfigChangeProto change) {
        return switch (change.getChangeCase()) {
            case SET_WORKSPACE -> "team/" + change.getSetWorkspace().getId();
            case REMOVE_WORKSPACE -> "team/" + change.getRemoveWorkspace();
            case SET_CLASS -> "class/" + change.getSetClass().getId();
            case REMOVE_CLASS -> "class/" + change.getRemoveClass();
            case GIVE_KEY -> "key/" + change.getGiveKey().getId();
            case WITHDRAW_KEY -> "key/" + change.getWithdrawKey();
            case SET_EVACUATION -> "domain/" + change.getSetEvacuation().getFailureDomain();
            default -> "none/";
        };
    }
}
