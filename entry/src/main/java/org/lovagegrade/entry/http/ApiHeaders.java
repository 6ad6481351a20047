package org.lovagegrade.entry.http;

import io.undertow.util.HttpString;

/** The headers of the HTTP interface for clients and operators. */
final class ApiHeaders {
    static final HttpString KEY = new HttpString("Lovagegrade-Key");
    static final HttpString OPERATOR_KEY = new HttpString("Lovagegrade-Operator-Key");
    static final HttpString OPERATOR = new HttpString("Lovagegrade-Operator");
    static final HttpString REQUEST_ID = new HttpString("Lovagegrade-Request-Id");
    static final HttpString BASE_REVISION = new HttpString("Lovagegrade-Base-Revision");
    static final HttpString CLASS = new HttpString("Lovagegrade-Class");
    static final HttpString IDEMPOTENT = new HttpString("Lovagegrade-Idempotent");
    static final HttpString DEADLINE_MS = new HttpString("Lovagegrade-Deadline-Ms");
    static final HttpString OUTCOME = new HttpString("Lovagegrade-Outcome");

    private ApiHeaders() {}
}
