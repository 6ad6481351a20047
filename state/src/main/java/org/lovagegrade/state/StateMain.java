package org.lovagegrade.state;

import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.apache.commons.cli.CommandLine;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Kernel;
import org.lovagegrade.kernel.Program;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.kernel.settings.SettingError;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.state.consensus.Raft;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.state.log.CorruptLogException;
import org.lovagegrade.state.log.DiskIdentity;
import org.lovagegrade.state.log.DurableLog;
import org.lovagegrade.state.replica.FleetApplication;
import org.lovagegrade.state.replica.PeerLinks;
import org.lovagegrade.state.replica.Replica;
import org.lovagegrade.state.replica.ReplicaIdentity;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcServer;

/** The program {@code lovagegrade-state}: a replica of the fleet's state, which runs the scheduler while it leads. */
public final class StateMain {
    private static final String FORMAT_FLAG = "format";
    private static final int NETWORK_THREADS = 1;

    private StateMain() {}

    /**
     * Runs the program.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        Program.named("lovagegrade-state")
                .withFlag(
                        FORMAT_FLAG,
                        "initialize an empty data folder for a new fleet and exit; never use it for a replaced disk")
                .run(args, StateMain::assemble);
    }

    private static Kernel assemble(Settings file, CommandLine line) throws SettingsException {
        StateSettings settings = StateSettings.from(file);
        if (line.hasOption("check-settings")) {
            return null;
        }
        try {
            DurableLog log = DurableLog.open(settings.dataFolder());
            if (line.hasOption(FORMAT_FLAG)) {
                format(settings, log);
                return null;
            }
            return kernel(settings, log);
        } catch (CorruptLogException e) {
            throw new SettingsException(List.of(new SettingError(
                    settings.dataFolder().toString(), "dataFolder", e.getMessage(), "an undamaged log and snapshot")));
        }
    }

    private static void format(StateSettings settings, DurableLog log) throws SettingsException {
        Optional<ReplicaId> stored = DiskIdentity.read(settings.dataFolder());
        if (stored.isPresent()) {
            throw new SettingsException(List.of(new SettingError(
                    settings.dataFolder().toString(),
                    "dataFolder",
                    "data of replica " + stored.get(),
                    "an empty folder, for a new fleet")));
        }
        List<String> voters = settings.replicas().keySet().stream()
                .sorted()
                .map(name -> ReplicaId.first(name).toString())
                .toList();
        log.format(voters);
        DiskIdentity.write(settings.dataFolder(), ReplicaId.first(settings.replicaName()));
        log.close();
        Log.event("formatted")
                .with("replica", settings.replicaName())
                .with("voters", voters.toString())
                .info();
    }

    private static Kernel kernel(StateSettings settings, DurableLog log) throws CorruptLogException {
        ReplicaId self = ReplicaIdentity.loadOrCreate(settings.dataFolder(), log, settings.replicaName(), List.of());
        Clock clock = Clock.monotonic();
        Metrics metrics = Metrics.create();
        RandomGenerator random = new SecureRandom();
        Raft raft = Raft.replica(self, log)
                .ofGroup(settings.group())
                .timedBy(settings.timings())
                .randomizedBy(bound -> random.nextLong(Math.max(1, bound)))
                .startingAt(clock.nowMs());
        Map<String, Address> peers = new TreeMap<>(settings.replicas());
        peers.remove(settings.replicaName());
        NetworkThreads loops = NetworkThreads.withThreads(NETWORK_THREADS);
        PeerLinks links = new PeerLinks(loops, name -> Optional.ofNullable(peers.get(name)), clock);
        List<String> peerNames = List.copyOf(peers.keySet());
        FleetApplication application = new FleetApplication(metrics, settings.admissionControl());
        Replica replica = new Replica(raft, log, links::send, () -> peerNames, application, clock, metrics);
        Kernel kernel = Kernel.empty()
                .register(loops)
                .register(links)
                .register(RpcServer.listeningAt(loops, settings.listen(), replica::handle))
                .register(replica);
        return kernel.register(new StatusServer(settings.status(), metrics, kernel));
    }
}
