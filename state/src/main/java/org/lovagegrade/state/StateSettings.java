package org.lovagegrade.state;

import java.nio.file.Path;
import java.util.Map;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.state.consensus.RaftTimings;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.AddressSettings;

/**
 * The settings of {@code lovagegrade-state}.
 *
 * @param replicaName this replica's name
 * @param group the number of its consensus group
 * @param dataFolder the folder of its log, snapshots and identity
 * @param listen the address of its RPC server
 * @param status the address of its HTTP server for metrics and health
 * @param replicas the addresses of all replicas by name, as this replica reaches them
 * @param timings the heartbeat interval and election timeout of the group
 * @param admissionControl whether this replica, while it leads, may refuse jobs for load
 */
public record StateSettings(
        String replicaName,
        int group,
        Path dataFolder,
        Address listen,
        Address status,
        Map<String, Address> replicas,
        RaftTimings timings,
        boolean admissionControl) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_GROUP = 1_000;
    private static final int MIN_HEARTBEAT_MS = 10;
    private static final int MAX_HEARTBEAT_MS = 1_000;
    private static final int DEFAULT_HEARTBEAT_MS = 100;
    private static final int MIN_ELECTION_MS = 100;
    private static final int MAX_ELECTION_MS = 10_000;
    private static final int DEFAULT_ELECTION_MS = 1_000;

    /**
     * Reads and checks the settings.
     *
     * @param settings the settings file
     * @return the settings
     * @throws SettingsException if a value is missing or invalid
     */
    public static StateSettings from(Settings settings) throws SettingsException {
        String name = settings.text("replicaName", "the name of this replica, one of replicas[].name");
        int group = settings.integer("group", 1, 1, MAX_GROUP, "group number");
        String folder = settings.text("dataFolder", "the path of the data folder");
        String host = settings.text("listenHost", "the IP address to listen on");
        int port = settings.integer("listenPort", 1, MAX_PORT, "port number");
        int statusPort = settings.integer("statusPort", 1, MAX_PORT, "port number");
        int heartbeatMs = settings.integer(
                "heartbeatMs", DEFAULT_HEARTBEAT_MS, MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS, "milliseconds");
        int electionMs = settings.integer(
                "electionTimeoutMs", DEFAULT_ELECTION_MS, MIN_ELECTION_MS, MAX_ELECTION_MS, "milliseconds");
        boolean admissionControl = settings.flag("admissionControl");
        Map<String, Address> replicas = AddressSettings.named(settings, "replicas");
        if (!replicas.containsKey(name)) {
            settings.reject("replicaName", name, "one of " + replicas.keySet());
        }
        if (electionMs < heartbeatMs * 2) {
            settings.reject("electionTimeoutMs", "" + electionMs, "at least twice heartbeatMs, unit: milliseconds");
        }
        settings.throwIfInvalid();
        return new StateSettings(
                name,
                group,
                Path.of(folder),
                new Address(host, port),
                new Address(host, statusPort),
                replicas,
                RaftTimings.of(heartbeatMs, electionMs),
                admissionControl);
    }
}
