package org.lovagegrade.state.machine;

import org.lovagegrade.wire.proto.ConfigChangeProto;

/** Names the object that a change of configuration is about. */
public final class ConfigObject {
    private ConfigObject() {}

    /**
     * The name by which records and conflicts speak of the object.
     *
     * @param change the change
     * @return its kind and id, for example {@code workspace/norte}
     */
    public static String nameOf(ConfigChangeProto change) {
        return switch (change.getChangeCase()) {
            case SET_WORKSPACE -> "team/" + change.getSetWorkspace().getId();
            case REMOVE_WORKSPACE -> "team/" + change.getRemoveWorkspace();
            case SET_CLASS -> "class/" + change.getSetClass().getId();
            case REMOVE_CLASS -> "class/" + change.getRemoveClass();
            case GIVE_KEY -> "key/" + change.getGiveKey().getId();
            case WITHDRAW_KEY -> "key/" + change.getWithdrawKey();
            default -> "none/";
        };
    }
}
