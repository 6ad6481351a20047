package org.lovagegrade.state.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.consensus.InstalledSnapshot;
import org.lovagegrade.state.consensus.Raft;
import org.lovagegrade.state.log.CorruptLogException;
import org.lovagegrade.state.log.DurableLog;
import org.lovagegrade.state.machine.Applied;
import org.lovagegrade.state.machine.RefusalReason;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.state.scheduling.EntryViews;
import org.lovagegrade.state.scheduling.LeaderDuties;
import org.lovagegrade.state.scheduling.StatusQueries;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.CommandReplyProto;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
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
    private static final String COMMAND_REFUSALS = "lovagegrade_command_refusals";
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
    private final List<String> peerNames;
    private final Clock clock;
    private final Clock wallClock;
    private final Metrics metrics;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Pending> pending = new TreeMap<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private StateMachine machine;
    private LeaderDuties duties;
    private EntryViews views;
    private StatusQueries queries;
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
     * @param peerNames the names of the other replicas
     * @param clock a monotonic clock
     * @param metrics counts refusals and times decisions
     * @throws CorruptLogException if the snapshot is damaged
     */
    public Replica(
            Raft raft,
            DurableLog log,
            Consumer<RaftMessageProto> network,
            List<String> peerNames,
            Clock clock,
            Metrics metrics)
            throws CorruptLogException {
        this.raft = raft;
        this.log = log;
        this.network = network;
        this.peerNames = List.copyOf(peerNames);
        this.clock = clock;
        this.wallClock = Clock.wall();
        this.metrics =
                metrics.declare(REPLICA_REFUSALS, StateRefusal.class).declare(COMMAND_REFUSALS, RefusalReason.class);
        this.appliedIndex = log.snapshotMeta().getIndex();
        this.machine = appliedIndex > 0 ? StateMachine.fromSnapshot(log.readSnapshot()) : StateMachine.empty();
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
        if (raft.isMember() || nowMs < nextJoinMs) {
            return;
        }
        nextJoinMs = nowMs + JOIN_INTERVAL_MS;
        peerNames.forEach(raft::askToJoin);
    }

    private void install(InstalledSnapshot snapshot) {
        machine = StateMachine.fromSnapshot(snapshot.data());
        appliedIndex = snapshot.meta().getIndex();
    }

    private void apply(LogEntryProto entry) {
        appliedIndex = entry.getIndex();
        Pending waiting = pending.remove(entry.getIndex());
        if (entry.getCommand().isEmpty()) {
            return;
        }
        Applied applied = machine.apply(parse(entry));
        AuditLines.write(applied, entry.getIndex());
        if (!applied.repeated()) {
            RefusalReason.of(applied.outcome()).ifPresent(reason -> metrics.count(COMMAND_REFUSALS, reason));
        }
        if (duties != null) {
            duties.applied(applied, clock.nowMs());
        }
        if (waiting != null) {
            boolean isOwn = waiting.term() == entry.getTerm();
            waiting.reply().accept(reply(isOwn ? applied.outcome() : unknown()));
        }
    }

    private static CommandProto parse(LogEntryProto entry) {
        try {
            return CommandProto.parseFrom(entry.getCommand());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "expected: a command in entry " + entry.getIndex() + "\n  actual: " + e.getMessage(), e);
        }
    }

    private void lead(long nowMs) {
        boolean mayDecide = raft.holdsLease(nowMs);
        if (!raft.isLeader() && !pending.isEmpty()) {
            pending.values().forEach(waiting -> waiting.reply().accept(reply(unknown())));
            pending.clear();
        }
        if (!raft.isLeader() && duties != null) {
            Log.event("leadershipLost").with("term", raft.term()).warn();
            duties = null;
            views = null;
            queries = null;
        }
        leads = mayDecide;
        if (!mayDecide) {
            return;
        }
        if (duties == null) {
            Log.event("leadershipTaken").with("term", raft.term()).info();
            duties = new LeaderDuties(machine, this::proposeOwn, metrics, nowMs, wallClock.nowMs());
            views = new EntryViews(machine, this::proposeOwn, nowMs);
            queries = new StatusQueries(machine, duties, views);
        }
        duties.tick(nowMs);
        views.tick(nowMs);
    }

    private void proposeOwn(CommandProto.Builder command) {
        raft.propose(command.setAtMs(wallClock.nowMs()).build().toByteString());
        proposed = true;
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
        log.saveSnapshot(meta, machine.snapshot());
        Log.event("snapshot").with("index", appliedIndex).info();
    }

    // --- requests

    private void dispatch(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        long nowMs = clock.nowMs();
        if (request.hasRaft()) {
            raft.receive(request.getRaft(), nowMs);
            return;
        }
        if (duties == null || !raft.holdsLease(nowMs)) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.NOT_LEADER);
            notLeader(request.getBodyCase()).ifPresent(reply);
            return;
        }
        switch (request.getBodyCase()) {
            case COMMAND_REQUEST -> propose(request.getCommandRequest().getCommand(), reply);
            case HEARTBEAT_BATCH ->
                reply.accept(EnvelopeProto.newBuilder()
                        .setHeartbeatAnswer(duties.heartbeats(request.getHeartbeatBatch(), nowMs))
                        .build());
            case VIEW_REQUEST ->
                reply.accept(EnvelopeProto.newBuilder()
                        .setViewReply(views.view(request.getViewRequest(), nowMs))
                        .build());
            case QUERY_REQUEST ->
                reply.accept(EnvelopeProto.newBuilder()
                        .setQueryReply(queries.answer(request.getQueryRequest(), nowMs).toBuilder()
                                .setLeader(raft.leader())
                                .setMembership(raft.committedMembership())
                                .setCommitIndex(raft.commitIndex()))
                        .build());
            default -> metrics.count(REPLICA_REFUSALS, StateRefusal.UNKNOWN_REQUEST);
        }
    }

    private void propose(CommandProto command, Consumer<EnvelopeProto> reply) {
        OptionalLong index = raft.propose(
                command.toBuilder().setAtMs(wallClock.nowMs()).build().toByteString());
        if (index.isEmpty()) {
            notLeader(EnvelopeProto.BodyCase.COMMAND_REQUEST).ifPresent(reply);
            return;
        }
        pending.put(index.getAsLong(), new Pending(raft.term(), reply));
    }

    private Optional<EnvelopeProto> notLeader(EnvelopeProto.BodyCase request) {
        return NotLeaderAnswers.to(request, raft.isLeader() ? "" : raft.leader());
    }

    private static EnvelopeProto reply(OutcomeProto outcome) {
        return EnvelopeProto.newBuilder()
                .setCommandReply(CommandReplyProto.newBuilder().setOutcome(outcome))
                .build();
    }

    private static OutcomeProto unknown() {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.OUTCOME_UNKNOWN)
                .setReason("leadershipLost")
                .build();
    }
}
