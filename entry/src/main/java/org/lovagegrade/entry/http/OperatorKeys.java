package org.lovagegrade.entry.http;

import java.util.Set;
import org.lovagegrade.kernel.KeyDigest;

/** Recognizes operators by their keys, whose digests are in the settings. */
final class OperatorKeys {
    private final Set<String> digests;

    OperatorKeys(Set<String> digests) {
        this.digests = digests;
    }

    boolean isOperator(ApiRequest request) {
        return digests.contains(KeyDigest.of(request.header(ApiHeaders.OPERATOR_KEY)));
    }

    /** Returns the name that the operator stated, or {@code operator}; it is recorded with the changes. */
    String nameOf(ApiRequest request) {
        String name = request.header(ApiHeaders.OPERATOR);
        return Ids.isValid(name) ? name : "operator";
    }
}
