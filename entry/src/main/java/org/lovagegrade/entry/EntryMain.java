package org.lovagegrade.entry;

import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import org.apache.commons.cli.CommandLine;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.calls.RoutingPolicy;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.http.EntryHttp;
import org.lovagegrade.entry.peers.PeerEntries;
import org.lovagegrade.entry.state.StateClient;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Kernel;
import org.lovagegrade.kernel.Program;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.NetworkThreads;
import org.lovagegrade.wire.RpcServer;

/** The program {@code lovagegrade-entry}: the HTTP interface for clients, operators, workers and endpoints. */
public final class EntryMain {
    private static final int NETWORK_THREADS = 1;
    /** The name of the loop that owns the entry's state. */
    static final String LOOP_NAME = "entryLoop";

    private EntryMain() {}

    /**
     * Runs the program.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        Program.named("lovagegrade-entry").run(args, EntryMain::assemble);
    }

    private static Kernel assemble(Settings file, CommandLine line) throws SettingsException {
        EntrySettings settings = EntrySettings.from(file);
        return line.hasOption("check-settings") ? null : kernel(settings);
    }

    private static Kernel kernel(EntrySettings settings) {
        Clock clock = Clock.monotonic();
        Metrics metrics = Metrics.create();
        RandomGenerator random = new SecureRandom();
        EventLoop loop = EventLoop.named(LOOP_NAME);
        NetworkThreads networkThreads = NetworkThreads.withThreads(NETWORK_THREADS);
        HttpWorker worker = new HttpWorker();
        StateClient state = new StateClient(networkThreads, settings.replicas(), loop, clock);
        ViewKeeper views = new ViewKeeper(settings.self(), state, loop, clock);
        PeerEntries peers = new PeerEntries(settings.self(), networkThreads, settings.seeds(), clock);
        views.onChange(() -> peers.addMembers(views.entries()));
        EndpointDirectory directory =
                new EndpointDirectory(settings.self(), peers, worker.worker(), worker.buffers(), loop, clock);
        RoutingPolicy routing = RoutingPolicy.named(settings.routing(), random);
        CallService calls = new CallService(directory, peers, views, routing, loop, clock, metrics, random);
        Gossip gossip = new Gossip(settings.self(), directory, peers, loop, clock);
        PeerRequestHandler peerRequests = new PeerRequestHandler(calls, directory, peers, loop, clock);
        EntryHttp http = new EntryHttp(new EntryHttp.Dependencies(
                settings.http(),
                worker.worker(),
                worker.buffers(),
                settings.operatorKeyDigests(),
                state,
                views,
                calls,
                directory,
                loop,
                clock,
                metrics));
        Kernel kernel = Kernel.empty()
                .register(loop)
                .register(networkThreads)
                .register(worker)
                .register(state)
                .register(views)
                .register(peers)
                .register(RpcServer.listeningAt(networkThreads, settings.peer(), peerRequests::handle))
                .register(calls)
                .register(gossip)
                .register(http);
        return kernel.register(new Drain(kernel, clock, settings.drainMs()));
    }
}
