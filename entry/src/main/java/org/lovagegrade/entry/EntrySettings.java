package org.lovagegrade.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.AddressSettings;
import org.lovagegrade.wire.proto.EntryMemberProto;

/**
 * The settings of {@code lovagegrade-entry}.
 *
 * @param self this entry, with the addresses at which other entries reach it
 * @param http the address on which it listens for clients, operators, endpoints and workers
 * @param peer the address on which it listens for other entries
 * @param replicas the addresses of the state replicas by name
 * @param seeds the addresses of other entries to contact until the members are known
 * @param operatorKeyDigests the SHA-256 digests of the operator keys in hexadecimal digits
 * @param routing the name of the routing policy
 * @param drainMs how long it continues to serve after announcing that it is leaving, in milliseconds
 */
public record EntrySettings(
        EntryMemberProto self,
        Address http,
        Address peer,
        Map<String, Address> replicas,
        List<Address> seeds,
        Set<String> operatorKeyDigests,
        String routing,
        long drainMs) {
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_DRAIN_MS = 2_500;
    private static final int MAX_DRAIN_MS = 60_000;
    private static final String DIGEST_PATTERN = "[0-9a-f]{64}";
    private static final Set<String> ROUTING_POLICIES = Set.of("shared-view", "random", "local-least");

    /**
     * Reads and validates the settings.
     *
     * @param settings the settings file
     * @return the settings
     * @throws SettingsException if a value is missing or invalid
     */
    public static EntrySettings from(Settings settings) throws SettingsException {
        String id = settings.text("entryId", "the id of this entry");
        String domain = settings.text("failureDomain", "the failure domain of this entry");
        String host = settings.text("listenHost", "the IP number to listen at");
        int httpPort = settings.integer("httpPort", 1, MAX_PORT, "port number");
        int peerPort = settings.integer("peerPort", 1, MAX_PORT, "port number");
        String advertised =
                settings.optionalText("advertisedPeerAddress", "host:port").orElse(host + ":" + peerPort);
        Address advertisedPeer = Address.parse(advertised).orElse(null);
        if (advertisedPeer == null) {
            settings.reject("advertisedPeerAddress", advertised, "host:port");
        }
        Map<String, Address> replicas = AddressSettings.named(settings, "replicas");
        List<Address> seeds =
                List.copyOf(AddressSettings.unnamed(settings, "entrySeeds").values());
        Set<String> digests = readDigests(settings);
        String routing =
                settings.optionalText("routing", "one of " + ROUTING_POLICIES).orElse("shared-view");
        if (!ROUTING_POLICIES.contains(routing)) {
            settings.reject("routing", routing, "one of " + ROUTING_POLICIES);
        }
        int drainMs = settings.integer("drainMs", DEFAULT_DRAIN_MS, 0, MAX_DRAIN_MS, "milliseconds");
        settings.throwIfInvalid();
        EntryMemberProto self = EntryMemberProto.newBuilder()
                .setId(id)
                .setFailureDomain(domain)
                .setHttpHost(host)
                .setHttpPort(httpPort)
                .setPeerHost(advertisedPeer.host())
                .setPeerPort(advertisedPeer.port())
                .build();
        return new EntrySettings(
                self,
                new Address(host, httpPort),
                new Address(host, peerPort),
                replicas,
                seeds,
                digests,
                routing,
                drainMs);
    }

    private static Set<String> readDigests(Settings settings) {
        Set<String> digests = new HashSet<>();
        for (Settings key : settings.objects("operatorKeys", "a list of {sha256}")) {
            String digest = key.text("sha256", "the SHA-256 of an operator's key in 64 hexadecimal digits");
            if (!digest.matches(DIGEST_PATTERN)) {
                key.reject("sha256", digest, "64 hexadecimal digits in lower case");
            }
            digests.add(digest);
        }
        return Set.copyOf(digests);
    }
}
