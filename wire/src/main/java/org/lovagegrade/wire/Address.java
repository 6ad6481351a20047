package org.lovagegrade.wire;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The network address of a process.
 *
 * <p>Example: {@code Address.parse("127.0.0.1:7101").orElseThrow().port()} is 7101.
 *
 * @param host an IP address or a host name
 * @param port a port number from 0 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Creates an address.
     *
     * @throws IllegalArgumentException if the host is blank or the port is out of range
     */
    public Address {
        if (host.isBlank() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "expected a host and a port from 0 to " + MAX_PORT + ", found: " + host + ":" + port);
        }
    }

    /**
     * Parses an address.
     *
     * @param text {@code host:port}
     * @return the address, or empty if the text is not a valid address
     */
    public static Optional<Address> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Converts this address to an unresolved socket address.
     *
     * @return the socket address; Netty resolves the host when it connects
     */
    public InetSocketAddress toSocketAddress() {
        return InetSocketAddress.createUnresolved(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
