package org.lovagegrade.state.replica;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.consensus.InstalledSnapshot;
import org.lovagegrade.state.consensus.Raft;
import org.lovagegrade.state.log.CorruptLogException;
import org.lovagegrade.state.log.DurableLog;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.RaftMessageProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/**
 * Runs one replica on one thread: messages in, one sync for all that they wrote, messages out, commands applied.
 *
 * <p>Example: {@code server.onRequest(replica::handle);}
 */
public final class Replica implements Service {
    /** The name of this service. */
    public static final String NAME = "replica";

    private static final String REPLICA_REFUSALS = "lovagegrade_state_refusals";
    private static final long TICK_MS = 20;
    private static final long JOIN_INTERVAL_MS = 500;
    private static final long TRANSFER_WAIT_MS = 1_500;
    private static final int MAX_QUEUED = 20_000;
    private static final int MAX_STEPS_PER_SYNC = 2_000;
    private static final long SNAPSHOT_LOG_BYTES = 16L * 1024 * 1024;
    private static final long SNAPSHOT_ENTRIES = 20_000;

    private final Raft raft;
    private final DurableLog log;
    private final Consumer<RaftMessageProto> network;
    private final Supplier<List<String>> peerNames;
    private final ReplicatedApplication application;
    private final Clock clock;
    private final Metrics metrics;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Pending> pending = new TreeMap<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Leadership leadership = new RaftLeadership();
    private boolean decides;
    private long appliedIndex;
    private long nextJoinMs;
    private boolean proposed;
    private volatile boolean running = true;
    private volatile boolean leads;
    private volatile long commitIndex;

    /** A command whose answer is awaited. */
    private record Pending(long term, Consumer<EnvelopeProto> reply) {}

    /**
     * Creates the service.
     *
     * @param raft the consensus replica over the log
     * @param log the log
     * @param network sends messages to other replicas
     * @param peerNames gives the names of other replicas, to ask them to be taken in
     * @param application what is replicated
     * @param clock a monotonic clock
     * @param metrics counts refusals
     * @throws CorruptLogException if the snapshot is damaged
     */
    public Replica(
            Raft raft,
            DurableLog log,
            Consumer<RaftMessageProto> network,
            Supplier<List<String>> peerNames,
            ReplicatedApplication application,
            Clock clock,
            Metrics metrics)
            throws CorruptLogException {
        this.raft = raft;
        this.log = log;
        this.network = network;
        this.peerNames = peerNames;
        this.application = application;
        this.clock = clock;
        this.metrics = metrics.declare(REPLICA_REFUSALS, StateRefusal.class);
        this.appliedIndex = log.snapshotMeta().getIndex();
        if (appliedIndex > 0) {
            application.restore(log.readSnapshot());
        }
    }

    /**
     * Takes a request of another process, from any thread.
     *
     * @param request the request
     * @param reply takes the answer
     */
    public void handle(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        if (queue.size() >= MAX_QUEUED) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.QUEUE_FULL);
            if (!request.hasRaft()) {
                application.overloadedReply().ifPresent(reply);
            }
            return;
        }
        queue.add(() -> dispatch(request, reply));
    }

    /**
     * Whether this replica leads, for status pages.
     *
     * @return true for the leader with a lease
     */
    public boolean leads() {
        return leads;
    }

    /**
     * The index up to which entries are committed, for status pages.
     *
     * @return the index
     */
    public long commitIndex() {
        return commitIndex;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        Thread thread = new Thread(this::run, NAME);
        thread.start();
    }

    /** Hands leadership over, then stops; what was proposed before is still answered. */
    @Override
    public void stop() {
        queue.add(() -> raft.transferLeadership(clock.nowMs()));
        long untilMs = clock.nowMs() + TRANSFER_WAIT_MS;
        CountDownLatch handedOver = new CountDownLatch(1);
        awaitHandOver(handedOver, untilMs);
        try {
            handedOver.await(TRANSFER_WAIT_MS, TimeUnit.MILLISECONDS);
            running = false;
            stopped.await(TRANSFER_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitHandOver(CountDownLatch handedOver, long untilMs) {
        queue.add(() -> {
            if (raft.isLeader() && clock.nowMs() < untilMs) {
                awaitHandOver(handedOver, untilMs);
            } else {
                handedOver.countDown();
            }
        });
    }

    private void run() {
        try {
            while (running) {
                takeIn();
                step();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            log.close();
            stopped.countDown();
        }
    }

    private void takeIn() throws InterruptedException {
        Runnable next = queue.poll(proposed ? 0 : TICK_MS, TimeUnit.MILLISECONDS);
        proposed = false;
        for (int steps = 0; next != null && steps < MAX_STEPS_PER_SYNC; steps++) {
            next.run();
            next = queue.poll();
        }
    }

    private void step() {
        long nowMs = clock.nowMs();
        raft.tick(nowMs);
        raft.replicate(nowMs);
        log.sync();
        raft.synced();
        askToJoin(nowMs);
        raft.takeMessages().forEach(network);
        raft.takeInstalledSnapshot().ifPresent(this::install);
        raft.takeCommitted().forEach(this::apply);
        lead(clock.nowMs());
        snapshotIfDue();
        commitIndex = raft.commitIndex();
    }

    private void askToJoin(long nowMs) {
        if (nowMs < nextJoinMs || !raft.shouldAskToJoin(nowMs)) {
            return;
        }
        nextJoinMs = nowMs + JOIN_INTERVAL_MS;
        peerNames.get().forEach(raft::askToJoin);
    }

    private void install(InstalledSnapshot snapshot) {
        application.restore(snapshot.data());
        appliedIndex = snapshot.meta().getIndex();
    }

    private void apply(LogEntryProto entry) {
        appliedIndex = entry.getIndex();
        Pending waiting = pending.remove(entry.getIndex());
        if (entry.getCommand().isEmpty()) {
            return;
        }
        EnvelopeProto answer = application.apply(entry, clock.nowMs());
        if (waiting != null) {
            boolean isOwn = waiting.term() == entry.getTerm();
            waiting.reply().accept(isOwn ? answer : application.outcomeUnknownReply());
        }
    }

    private void lead(long nowMs) {
        boolean mayDecide = raft.holdsLease(nowMs);
        if (!raft.isLeader() && !pending.isEmpty()) {
            pending.values().forEach(waiting -> waiting.reply().accept(application.outcomeUnknownReply()));
            pending.clear();
        }
        if (decides && (!raft.isLeader() || raft.isTransferring())) {
            Log.event("leadershipLost").with("term", raft.term()).warn();
            decides = false;
            application.becomeFollower();
        }
        leads = mayDecide;
        if (!mayDecide) {
            return;
        }
        if (!decides) {
            Log.event("leadershipTaken").with("term", raft.term()).info();
            decides = true;
            application.becomeLeader(leadership, nowMs);
        }
        application.tick(nowMs);
    }

    private void snapshotIfDue() {
        long covered = appliedIndex - log.snapshotMeta().getIndex();
        if (covered < SNAPSHOT_ENTRIES && (log.fileBytes() < SNAPSHOT_LOG_BYTES || covered == 0)) {
            return;
        }
        SnapshotMetaProto meta = SnapshotMetaProto.newBuilder()
                .setIndex(appliedIndex)
                .setTerm(log.termAt(appliedIndex))
                .setMembership(raft.membershipAt(appliedIndex))
                .build();
        log.saveSnapshot(meta, application.snapshot());
        Log.event("snapshot").with("index", appliedIndex).info();
    }

    // --- requests

    private void dispatch(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        long nowMs = clock.nowMs();
        if (request.hasRaft()) {
            raft.receive(request.getRaft(), nowMs);
            return;
        }
        if (!decides || !raft.holdsLease(nowMs)) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.NOT_LEADER);
            notLeader(request.getBodyCase()).ifPresent(reply);
            return;
        }
        if (!application.handle(request, reply, nowMs)) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.UNKNOWN_REQUEST);
        }
    }

    private Optional<EnvelopeProto> notLeader(EnvelopeProto.BodyCase request) {
        return application.notLeaderReply(request, raft.isLeader() ? "" : raft.leader());
    }

    /** Lets the application propose while this replica leads. */
    private final class RaftLeadership implements Leadership {
        @Override
        public void propose(ByteString command) {
            raft.propose(command);
            proposed = true;
        }

        @Override
        public void propose(ByteString command, Consumer<EnvelopeProto> reply) {
            OptionalLong index = raft.propose(command);
            proposed = true;
            if (index.isEmpty()) {
                notLeader(EnvelopeProto.BodyCase.COMMAND_REQUEST).ifPresent(reply);
                return;
            }
            pending.put(index.getAsLong(), new Pending(raft.term(), reply));
        }

        @Override
        public void execute(Runnable task) {
            queue.add(task);
        }

        @Override
        public long term() {
            return raft.term();
        }

        @Override
        public String leader() {
            return raft.leader();
        }

        @Override
        public MembershipProto membership() {
            return raft.committedMembership();
        }

        @Override
        public long commitIndex() {
            return raft.commitIndex();
        }
    }
}
