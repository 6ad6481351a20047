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
 * Runs one replica on one thread. Each iteration handles the queued messages, syncs the log once for all of them,
 * sends the outgoing messages and then applies the committed commands.
 *
 * <p>Example: {@code server.onRequest(replica::handle);}
 */
public final class Replica implements Service {
    /** The name of this service. */
    public static final String NAME = "replica";

    private static final String REPLICA_REFUSALS = "lovagegrade_state_refusals";
    private static final long TICK_MS = 20;
    private static final long JOIN_INTERVAL_MS = 500;
    private static final long TRANSFER_TIMEOUT_MS = 1_500;
    private static final int MAX_QUEUED_TASKS = 20_000;
    private static final int MAX_TASKS_PER_SYNC = 2_000;
    private static final long SNAPSHOT_LOG_BYTES = 16L * 1024 * 1024;
    private static final long SNAPSHOT_ENTRIES = 20_000;

    private final Raft raft;
    private final DurableLog log;
    private final Consumer<RaftMessageProto> messageSender;
    private final Supplier<List<String>> peerNames;
    private final ReplicatedApplication application;
    private final Clock clock;
    private final Metrics metrics;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, PendingReply> pendingReplies = new TreeMap<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Leadership leadership = new RaftLeadership();
    /**
     * Whether the application runs as leader: from the first valid lease of a term until leadership is lost or
     * transferred.
     */
    private boolean isActive;

    private long appliedIndex;
    private long nextJoinMs;
    private boolean hasNewProposals;
    private volatile boolean running = true;
    private volatile boolean leads;
    private volatile long commitIndex;

    /** A proposed command whose caller awaits the reply. */
    private record PendingReply(long term, Consumer<EnvelopeProto> reply) {}

    /**
     * Creates the service.
     *
     * @param raft the Raft instance that uses the log
     * @param log the log
     * @param messageSender sends messages to other replicas
     * @param peerNames supplies the names of the other replicas, which are asked to add this one to the membership
     * @param application the replicated application
     * @param clock a monotonic clock
     * @param metrics counts refusals
     * @throws CorruptLogException if the snapshot is damaged
     */
    public Replica(
            Raft raft,
            DurableLog log,
            Consumer<RaftMessageProto> messageSender,
            Supplier<List<String>> peerNames,
            ReplicatedApplication application,
            Clock clock,
            Metrics metrics)
            throws CorruptLogException {
        this.raft = raft;
        this.log = log;
        this.messageSender = messageSender;
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
     * Queues a request of another process. May be called on any thread.
     *
     * @param request the request
     * @param reply receives the reply, on the replica's thread unless the queue is full
     */
    public void handle(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        if (queue.size() >= MAX_QUEUED_TASKS) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.QUEUE_FULL);
            if (!request.hasRaft()) {
                application.overloadedReply().ifPresent(reply);
            }
            return;
        }
        queue.add(() -> dispatch(request, reply));
    }

    /**
     * Returns whether this replica leads, for status endpoints. May be called on any thread.
     *
     * @return true if it leads and its leader lease is valid
     */
    public boolean leads() {
        return leads;
    }

    /**
     * Returns the index up to which entries are committed, for status endpoints. May be called on any thread.
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

    /** Transfers leadership and then stops. Commands that were proposed before still get a reply. */
    @Override
    public void stop() {
        queue.add(() -> raft.transferLeadership(clock.nowMs()));
        long deadlineMs = clock.nowMs() + TRANSFER_TIMEOUT_MS;
        CountDownLatch transferred = new CountDownLatch(1);
        awaitTransfer(transferred, deadlineMs);
        try {
            transferred.await(TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            running = false;
            stopped.await(TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitTransfer(CountDownLatch transferred, long deadlineMs) {
        queue.add(() -> {
            if (raft.isLeader() && clock.nowMs() < deadlineMs) {
                awaitTransfer(transferred, deadlineMs);
            } else {
                transferred.countDown();
            }
        });
    }

    private void run() {
        try {
            while (running) {
                runQueuedTasks();
                advance();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            log.close();
            stopped.countDown();
        }
    }

    private void runQueuedTasks() throws InterruptedException {
        Runnable next = queue.poll(hasNewProposals ? 0 : TICK_MS, TimeUnit.MILLISECONDS);
        hasNewProposals = false;
        for (int tasks = 0; next != null && tasks < MAX_TASKS_PER_SYNC; tasks++) {
            next.run();
            next = queue.poll();
        }
    }

    private void advance() {
        long nowMs = clock.nowMs();
        raft.tick(nowMs);
        raft.replicate(nowMs);
        log.sync();
        raft.synced();
        askToJoin(nowMs);
        raft.takeMessages().forEach(messageSender);
        raft.takeInstalledSnapshot().ifPresent(this::install);
        raft.takeCommitted().forEach(this::apply);
        updateLeadership(clock.nowMs());
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
        PendingReply pendingReply = pendingReplies.remove(entry.getIndex());
        if (entry.getCommand().isEmpty()) {
            return;
        }
        EnvelopeProto reply = application.apply(entry, clock.nowMs());
        if (pendingReply != null) {
            boolean isSameProposal = pendingReply.term() == entry.getTerm();
            pendingReply.reply().accept(isSameProposal ? reply : application.outcomeUnknownReply());
        }
    }

    private void updateLeadership(long nowMs) {
        boolean holdsLease = raft.holdsLease(nowMs);
        if (!raft.isLeader() && !pendingReplies.isEmpty()) {
            pendingReplies
                    .values()
                    .forEach(pendingReply -> pendingReply.reply().accept(application.outcomeUnknownReply()));
            pendingReplies.clear();
        }
        if (isActive && (!raft.isLeader() || raft.isTransferring())) {
            Log.event("leadershipLost").with("term", raft.term()).warn();
            isActive = false;
            application.becomeFollower();
        }
        leads = holdsLease;
        if (!holdsLease) {
            return;
        }
        if (!isActive) {
            Log.event("leadershipTaken").with("term", raft.term()).info();
            isActive = true;
            application.becomeLeader(leadership, nowMs);
        }
        application.tick(nowMs);
    }

    private void snapshotIfDue() {
        long entriesSinceSnapshot = appliedIndex - log.snapshotMeta().getIndex();
        if (entriesSinceSnapshot < SNAPSHOT_ENTRIES
                && (log.fileBytes() < SNAPSHOT_LOG_BYTES || entriesSinceSnapshot == 0)) {
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

    private void dispatch(EnvelopeProto request, Consumer<EnvelopeProto> reply) {
        long nowMs = clock.nowMs();
        if (request.hasRaft()) {
            raft.receive(request.getRaft(), nowMs);
            return;
        }
        if (!isActive || !raft.holdsLease(nowMs)) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.NOT_LEADER);
            notLeaderReply(request.getBodyCase()).ifPresent(reply);
            return;
        }
        if (!application.handle(request, reply, nowMs)) {
            metrics.count(REPLICA_REFUSALS, StateRefusal.UNKNOWN_REQUEST);
        }
    }

    private Optional<EnvelopeProto> notLeaderReply(EnvelopeProto.BodyCase request) {
        return application.notLeaderReply(request, raft.isLeader() ? "" : raft.leader());
    }

    /** Gives the application access to Raft. */
    private final class RaftLeadership implements Leadership {
        @Override
        public void propose(ByteString command) {
            raft.propose(command);
            hasNewProposals = true;
        }

        @Override
        public void propose(ByteString command, Consumer<EnvelopeProto> reply) {
            OptionalLong index = raft.propose(command);
            hasNewProposals = true;
            if (index.isEmpty()) {
                notLeaderReply(EnvelopeProto.BodyCase.COMMAND_REQUEST).ifPresent(reply);
                return;
            }
            pendingReplies.put(index.getAsLong(), new PendingReply(raft.term(), reply));
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
        public boolean holdsLease() {
            return raft.holdsLease(clock.nowMs());
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
