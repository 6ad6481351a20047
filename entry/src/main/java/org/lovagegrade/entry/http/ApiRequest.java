package org.lovagegrade.entry.http;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;

/** A request whose body was read whole. */
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

    /** A header, or an empty text. */
    String header(HttpString name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    /** A part of the path, or an empty text. */
    String pathParameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? "" : values.getFirst();
    }

    Settings json() throws SettingsException {
        return Settings.parse("request body", body.toString(StandardCharsets.UTF_8));
    }
}
