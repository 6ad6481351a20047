package org.lovagegrade.entry.http;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;

/** An HTTP request with its complete body. */
final class ApiRequest {
    private final HttpServerExchange exchange;
    private final ByteString body;

    ApiRequest(HttpServerExchange exchange, byte[] body) {
        this.exchange = exchange;
        this.body = ByteString.copyFrom(body);
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    ByteString body() {
        return body;
    }

    /** Returns the first value of a header, or an empty string. */
    String header(HttpString name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    /** Returns the value of a path parameter, or an empty string. */
    String pathParameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? "" : values.getFirst();
    }

    Settings json() throws SettingsException {
        return Settings.parse("request body", body.toString(StandardCharsets.UTF_8));
    }
}
