package org.lovagegrade.entry.http;

import java.util.Set;
import org.lovagegrade.kernel.KeyDigest;

/** Tells operators by their keys, whose digests stand in the settings. */
final class OperatorKeys {
    private final Set<String> digests;

    OperatorKeys(Set<String> digests) {
        this.digests = digests;
    }

    boolean isOperator(ApiRequest request) {
        return digests.contains(KeyDigest.of(request.header(ApiHeaders.OPERATOR_KEY)));
    }

    /** The name that the operator gave, for the records. */
    String nameOf(ApiRequest request) {
        String name = request.header(ApiHeaders.OPERATOR);
        return Ids.isValid(name) ? name : "operator";
    }
}
