package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import org.lovagegrade.state.consensus.internal.IncomingSnapshot;
import org.lovagegrade.state.consensus.internal.MembershipChange;
import org.lovagegrade.state.consensus.internal.MembershipHistory;
import org.lovagegrade.state.consensus.internal.PeerProgress;
import org.lovagegrade.state.consensus.internal.Quorum;
import org.lovagegrade.wire.proto.AppendReplyProto;
import org.lovagegrade.wire.proto.AppendRequestProto;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.JoinProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.RaftMessageProto;
import org.lovagegrade.wire.proto.SnapshotChunkProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;
import org.lovagegrade.wire.proto.SnapshotReplyProto;
import org.lovagegrade.wire.proto.TransferProto;
import org.lovagegrade.wire.proto.VoteReplyProto;
import org.lovagegrade.wire.proto.VoteRequestProto;

/**
 * One replica of a consensus group: Raft with pre-vote, check-quorum, a leader lease, learners, one-at-a-time
 * membership change and snapshots. It has no threads and no clock, and does no I/O except through its storage.
 *
 * <p>The caller must call {@link RaftStorage#sync()} and then {@link #synced} before it sends the messages from {@link
 * #takeMessages()}, so that no peer counts on a vote or an entry that a crash can still lose:
 *
 * <pre>{@code
 * raft.receive(message, nowMs);
 * storage.sync();
 * raft.synced();
 * raft.takeMessages().forEach(network::send);
 * raft.takeCommitted().forEach(stateMachine::apply);
 * }</pre>
 */
public final class Raft {
    private static final int MAX_BYTES_PER_MESSAGE = 1024 * 1024;
    private static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;
    private static final long CAUGHT_UP_MAX_LAG_ENTRIES = 64;
    /**
     * The first voter campaigns after the election timeout and 1/20 of it, when the timeout has elapsed on the other
     * voters too, so that they don't ignore the request.
     */
    private static final long ELECTION_MARGIN_DIVISOR = 20;
    /** Voters campaign in order of their ids, 1/8 of the election timeout apart, which is longer than a vote takes. */
    private static final long STAGGER_DIVISOR = 8;
    /** Random jitter within a stagger interval, for voters whose ranks collide because their memberships differ. */
    private static final long JITTER_DIVISOR = 16;
    /** A pre-vote changes no term or vote, so it is retried early, after at least 1/4 of the election timeout. */
    private static final long PRE_VOTE_RETRY_DIVISOR = 4;

    private enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    private final int group;
    private final ReplicaId self;
    private final RaftTimings timings;
    private final RaftStorage storage;
    private final RaftRules rules;
    private final LongUnaryOperator randomBelow;
    private final int maxEntriesPerMessage;
    private final MembershipHistory memberships = new MembershipHistory();
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    private final Set<String> votes = new HashSet<>();
    /** The time of the latest join request from each replica. */
    private final Map<String, Long> joinRequestedAtMs = new TreeMap<>();

    private final IncomingSnapshot incomingSnapshot = new IncomingSnapshot();
    private List<RaftMessageProto> outbox = new ArrayList<>();
    private List<LogEntryProto> committed = new ArrayList<>();
    private InstalledSnapshot installedSnapshot;
    private Role role = Role.FOLLOWER;
    private long term;
    private String votedFor;
    private String leader = "";
    private long commitIndex;
    private long syncedIndex;
    private long lastLeaderContactMs;
    private long electionDueMs;
    private long nextHeartbeatMs;
    private long termStartIndex;
    private long leaderSinceMs;
    private boolean transferring;
    private long transferDeadlineMs;

    Raft(RaftBuilder builder, long nowMs) {
        this.group = builder.group;
        this.self = builder.self;
        this.timings = builder.timings;
        this.storage = builder.storage;
        this.rules = builder.rules;
        this.randomBelow = builder.randomBelow;
        this.maxEntriesPerMessage = builder.maxEntriesPerMessage;
        this.term = storage.hardState().getTerm();
        this.votedFor = storage.hardState().getVotedFor();
        SnapshotMetaProto snapshot = storage.snapshotMeta();
        if (snapshot.getIndex() > 0) {
            memberships.snapshotAt(snapshot.getIndex(), snapshot.getMembership());
        }
        for (long index = storage.firstIndex(); index <= storage.lastIndex(); index++) {
            memberships.appended(storage.entry(index));
        }
        this.commitIndex = snapshot.getIndex();
        this.syncedIndex = storage.lastIndex();
        this.lastLeaderContactMs = Math.min(nowMs, builder.noLeaderContactSinceMs.orElse(nowMs));
        scheduleElection(lastLeaderContactMs);
    }

    /**
     * Returns a builder for a replica.
     *
     * @param self the replica's id
     * @param storage the replica's persistent state
     * @return a builder
     */
    public static RaftBuilder replica(ReplicaId self, RaftStorage storage) {
        return new RaftBuilder(self, storage);
    }

    /**
     * Handles a message from a peer; a message for another group or another incarnation is dropped.
     *
     * @param message the message
     * @param nowMs the current time in milliseconds
     */
    public void receive(RaftMessageProto message, long nowMs) {
        boolean isAddressee = message.hasJoin() || message.getTo().equals(self.toString());
        if (message.getGroup() != group || !isAddressee) {
            return;
        }
        if (message.hasJoin()) {
            receiveJoin(message, nowMs);
            return;
        }
        if (message.hasVoteRequest()) {
            receiveVoteRequest(message, nowMs);
            return;
        }
        if (message.getTerm() > term && !isPreVoteGrant(message)) {
            becomeFollower(message.getTerm(), "");
        }
        if (message.getTerm() < term) {
            replyWithNewerTerm(message);
            return;
        }
        handleCurrentTerm(message, nowMs);
    }

    /**
     * Does what has become due by time: elections, heartbeats, membership changes.
     *
     * @param nowMs the current time in milliseconds
     */
    public void tick(long nowMs) {
        if (role == Role.LEADER) {
            tickLeader(nowMs);
            return;
        }
        if (nowMs < electionDueMs) {
            return;
        }
        scheduleElection(nowMs);
        if (isVoter(self.toString())) {
            campaign(true, false, nowMs);
        }
    }

    /** Must be called after each sync of the storage; counts the synced entries towards the commit index. */
    public void synced() {
        syncedIndex = storage.lastIndex();
        if (role == Role.LEADER) {
            advanceCommit();
        }
    }

    /**
     * Appends a command to the log if this replica is the leader. The entry is sent by {@link #replicate}.
     *
     * @param command the command
     * @return the index of its entry; empty if this replica isn't the leader or is transferring its leadership
     */
    public OptionalLong propose(ByteString command) {
        if (role != Role.LEADER || transferring) {
            return OptionalLong.empty();
        }
        LogEntryProto entry = appendAsLeader(LogEntryProto.newBuilder().setCommand(command));
        return OptionalLong.of(entry.getIndex());
    }

    /**
     * Sends the proposed entries to the followers; called once for a batch of proposals.
     *
     * @param nowMs the current time in milliseconds
     */
    public void replicate(long nowMs) {
        if (role == Role.LEADER) {
            peers.keySet().forEach(peer -> sendEntries(peer, nowMs, false));
        }
    }

    /**
     * Transfers leadership to the voter with the highest match index. This replica takes no more proposals in its term,
     * and steps down if no other leader is elected within an election timeout.
     *
     * @param nowMs the current time in milliseconds
     */
    public void transferLeadership(long nowMs) {
        if (role != Role.LEADER) {
            return;
        }
        transferring = true;
        transferDeadlineMs = nowMs + timings.electionTimeoutMs();
        peers.entrySet().stream()
                .filter(peer -> isVoter(peer.getKey()))
                .max((a, b) -> Long.compare(a.getValue().matchIndex, b.getValue().matchIndex))
                .ifPresent(peer -> {
                    sendEntries(peer.getKey(), nowMs, true);
                    send(peer.getKey(), RaftMessageProto.newBuilder().setTransfer(TransferProto.getDefaultInstance()));
                });
    }

    /**
     * Asks a replica to add this one to the group.
     *
     * @param name the name of the replica to ask
     */
    public void askToJoin(String name) {
        send(ReplicaId.first(name).toString(), RaftMessageProto.newBuilder().setJoin(JoinProto.getDefaultInstance()));
    }

    /**
     * Whether this replica should ask to join the group: it has no vote, or it has had no contact with a leader for so
     * long that it may have been replaced.
     *
     * @param nowMs the current time in milliseconds
     * @return true if {@link #askToJoin} should be called
     */
    public boolean shouldAskToJoin(long nowMs) {
        return !hasVote() || (role != Role.LEADER && nowMs - lastLeaderContactMs > timings.replaceAfterMs());
    }

    /**
     * Removes and returns the messages to send; call it only after a sync.
     *
     * @return the messages, in order
     */
    public List<RaftMessageProto> takeMessages() {
        List<RaftMessageProto> taken = outbox;
        outbox = new ArrayList<>();
        return taken;
    }

    /**
     * Removes and returns the entries that were committed since the last call.
     *
     * @return the entries, in order
     */
    public List<LogEntryProto> takeCommitted() {
        List<LogEntryProto> taken = committed;
        committed = new ArrayList<>();
        return taken;
    }

    /**
     * Removes and returns the snapshot that was installed since the last call; it precedes the entries from {@link
     * #takeCommitted()}.
     *
     * @return the snapshot, or empty
     */
    public Optional<InstalledSnapshot> takeInstalledSnapshot() {
        Optional<InstalledSnapshot> taken = Optional.ofNullable(installedSnapshot);
        installedSnapshot = null;
        return taken;
    }

    /**
     * Whether this replica is the leader of its term, as far as it knows.
     *
     * @return true for a leader, with or without a lease
     */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /**
     * Whether this replica is transferring its leadership.
     *
     * @return true for a leader that takes no proposals because a transfer is in progress
     */
    public boolean isTransferring() {
        return role == Role.LEADER && transferring;
    }

    /**
     * Whether this replica holds the leader lease: it leads, has committed an entry of its term, and no other replica
     * can have been elected.
     *
     * @param nowMs the current time in milliseconds, read just before the call
     * @return true if this replica may act as the only leader at {@code nowMs}
     */
    public boolean holdsLease(long nowMs) {
        return role == Role.LEADER
                && !transferring
                && commitIndex >= termStartIndex
                && rules.lease().isValid(nowMs, quorumAckMs(nowMs) + timings.leaseMs());
    }

    /**
     * The leader as far as this replica knows.
     *
     * @return its id, or an empty string
     */
    public String leader() {
        return leader;
    }

    /**
     * The current term.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * The index up to which entries are known to be committed.
     *
     * @return the index
     */
    public long commitIndex() {
        return commitIndex;
    }

    /**
     * The membership in force.
     *
     * @return the latest in the log, committed or not
     */
    public MembershipProto membership() {
        return memberships.latest();
    }

    /**
     * The latest committed membership, which a change of leader can't revert.
     *
     * @return the latest membership at or below the commit index
     */
    public MembershipProto committedMembership() {
        return memberships.at(commitIndex);
    }

    /**
     * The membership at an index, for a snapshot.
     *
     * @param index the index
     * @return the membership
     */
    public MembershipProto membershipAt(long index) {
        return memberships.at(index);
    }

    /**
     * Whether this replica has a vote.
     *
     * @return true if it is a voter of the membership in force
     */
    public boolean hasVote() {
        return isVoter(self.toString());
    }

    private void handleCurrentTerm(RaftMessageProto message, long nowMs) {
        switch (message.getBodyCase()) {
            case VOTE_REPLY -> receiveVoteReply(message, nowMs);
            case APPEND_REQUEST -> receiveAppend(message, nowMs);
            case APPEND_REPLY -> receiveAppendReply(message, nowMs);
            case SNAPSHOT_CHUNK -> receiveSnapshotChunk(message, nowMs);
            case SNAPSHOT_REPLY -> receiveSnapshotReply(message, nowMs);
            case TRANSFER -> campaign(false, true, nowMs);
            default -> {}
        }
    }

    private static boolean isPreVoteGrant(RaftMessageProto message) {
        return message.hasVoteReply()
                && message.getVoteReply().getPreVote()
                && message.getVoteReply().getGranted();
    }

    /** Answers an append request of a deposed leader; the term of the reply makes it step down. */
    private void replyWithNewerTerm(RaftMessageProto message) {
        if (message.hasAppendRequest()) {
            send(
                    message.getFrom(),
                    RaftMessageProto.newBuilder()
                            .setAppendReply(AppendReplyProto.newBuilder().setMatchIndex(0)));
        }
    }

    // --- elections

    private void campaign(boolean preVote, boolean transfer, long nowMs) {
        if (!isVoter(self.toString())) {
            return;
        }
        role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = "";
        long campaignTerm = term + 1;
        if (!preVote) {
            term = campaignTerm;
            votedFor = self.toString();
            saveHardState();
        }
        scheduleNextCampaign(preVote, nowMs);
        votes.clear();
        votes.add(self.toString());
        if (Quorum.granted(membership().getVotersList(), votes)) {
            onVoteQuorum(preVote, nowMs);
            return;
        }
        for (String voter : membership().getVotersList()) {
            if (!voter.equals(self.toString())) {
                outbox.add(message(voter)
                        .setTerm(campaignTerm)
                        .setVoteRequest(VoteRequestProto.newBuilder()
                                .setLastIndex(storage.lastIndex())
                                .setLastTerm(storage.termAt(storage.lastIndex()))
                                .setPreVote(preVote)
                                .setTransfer(transfer))
                        .build());
            }
        }
    }

    private void receiveVoteRequest(RaftMessageProto message, long nowMs) {
        VoteRequestProto request = message.getVoteRequest();
        boolean leaderIsResponsive = role == Role.LEADER
                ? quorumAckMs(nowMs) + timings.electionTimeoutMs() > nowMs
                : nowMs - lastLeaderContactMs < timings.electionTimeoutMs();
        // The leader's lease relies on voters that ignore other candidates while the leader is responsive.
        if (leaderIsResponsive && !request.getTransfer()) {
            return;
        }
        if (request.getPreVote()) {
            boolean granted = message.getTerm() > term && isUpToDate(request);
            outbox.add(message(message.getFrom())
                    .setTerm(granted ? message.getTerm() : term)
                    .setVoteReply(
                            VoteReplyProto.newBuilder().setGranted(granted).setPreVote(true))
                    .build());
            return;
        }
        if (message.getTerm() > term) {
            becomeFollower(message.getTerm(), "");
        }
        boolean granted = message.getTerm() == term
                && isUpToDate(request)
                && (votedFor.isEmpty() || votedFor.equals(message.getFrom()));
        if (granted) {
            votedFor = message.getFrom();
            saveHardState();
            scheduleElection(nowMs);
        }
        send(
                message.getFrom(),
                RaftMessageProto.newBuilder()
                        .setVoteReply(VoteReplyProto.newBuilder().setGranted(granted)));
    }

    private boolean isUpToDate(VoteRequestProto request) {
        long lastTerm = storage.termAt(storage.lastIndex());
        return request.getLastTerm() > lastTerm
                || (request.getLastTerm() == lastTerm && request.getLastIndex() >= storage.lastIndex());
    }

    private void receiveVoteReply(RaftMessageProto message, long nowMs) {
        VoteReplyProto reply = message.getVoteReply();
        boolean expected = reply.getPreVote()
                ? role == Role.PRE_CANDIDATE && message.getTerm() == term + 1
                : role == Role.CANDIDATE && message.getTerm() == term;
        if (!expected || !reply.getGranted()) {
            return;
        }
        votes.add(message.getFrom());
        if (Quorum.granted(membership().getVotersList(), votes)) {
            onVoteQuorum(reply.getPreVote(), nowMs);
        }
    }

    private void onVoteQuorum(boolean preVote, long nowMs) {
        if (preVote) {
            campaign(false, false, nowMs);
        } else {
            becomeLeader(nowMs);
        }
    }

    private void becomeLeader(long nowMs) {
        role = Role.LEADER;
        leader = self.toString();
        transferring = false;
        peers.clear();
        joinRequestedAtMs.clear();
        syncPeers(nowMs);
        // A new leader holds no lease until a quorum has answered its own heartbeats.
        peers.values().forEach(peer -> peer.ackedSentAtMs = nowMs - timings.electionTimeoutMs());
        termStartIndex = appendAsLeader(LogEntryProto.newBuilder().setCommand(ByteString.EMPTY))
                .getIndex();
        leaderSinceMs = nowMs;
        heartbeat(nowMs);
    }

    private void becomeFollower(long newTerm, String newLeader) {
        role = Role.FOLLOWER;
        leader = newLeader;
        transferring = false;
        votes.clear();
        if (newTerm > term) {
            term = newTerm;
            votedFor = "";
            saveHardState();
        }
    }

    /** Sets when to campaign if there is no further contact with a leader. */
    private void scheduleElection(long nowMs) {
        long timeoutMs = timings.electionTimeoutMs();
        long staggerMs = electionRank() * timeoutMs / STAGGER_DIVISOR;
        electionDueMs = nowMs
                + timeoutMs
                + timeoutMs / ELECTION_MARGIN_DIVISOR
                + staggerMs
                + randomMsBelow(timeoutMs / JITTER_DIVISOR);
    }

    /** Sets when to campaign again if this campaign isn't won; randomized so that a split vote doesn't repeat. */
    private void scheduleNextCampaign(boolean preVote, long nowMs) {
        long timeoutMs = preVote ? timings.electionTimeoutMs() / PRE_VOTE_RETRY_DIVISOR : timings.electionTimeoutMs();
        electionDueMs = nowMs + timeoutMs + randomMsBelow(timeoutMs);
    }

    private long randomMsBelow(long boundMs) {
        return randomBelow.applyAsLong(Math.max(1, boundMs));
    }

    /** The rank of this replica by id among the voters other than the last known leader. */
    private long electionRank() {
        return membership().getVotersList().stream()
                .filter(voter -> !voter.equals(leader) && voter.compareTo(self.toString()) < 0)
                .count();
    }

    private void saveHardState() {
        storage.saveHardState(
                HardStateProto.newBuilder().setTerm(term).setVotedFor(votedFor).build());
    }

    // --- leader

    private void tickLeader(long nowMs) {
        long quorumContactMs = Math.max(quorumAckMs(nowMs), leaderSinceMs);
        boolean hasLostQuorum = nowMs - quorumContactMs > timings.electionTimeoutMs() * 2;
        if (hasLostQuorum || (transferring && nowMs >= transferDeadlineMs)) {
            becomeFollower(term, "");
            scheduleElection(nowMs);
            return;
        }
        if (nowMs >= nextHeartbeatMs) {
            heartbeat(nowMs);
            changeMembership(nowMs);
        }
    }

    private void heartbeat(long nowMs) {
        nextHeartbeatMs = nowMs + timings.heartbeatMs();
        peers.keySet().forEach(peer -> sendEntries(peer, nowMs, true));
    }

    private LogEntryProto appendAsLeader(LogEntryProto.Builder builder) {
        LogEntryProto entry =
                builder.setIndex(storage.lastIndex() + 1).setTerm(term).build();
        storage.append(entry);
        memberships.appended(entry);
        return entry;
    }

    private void sendEntries(String peer, long nowMs, boolean sendIfEmpty) {
        PeerProgress progress = peers.get(peer);
        if (progress.nextIndex < storage.firstIndex()
                || storage.termAt(progress.nextIndex - 1) == RaftStorage.NO_TERM) {
            sendSnapshot(peer, progress, nowMs);
            return;
        }
        List<LogEntryProto> entries = entriesFrom(progress.nextIndex);
        if (entries.isEmpty() && !sendIfEmpty) {
            return;
        }
        long previous = progress.nextIndex - 1;
        progress.nextIndex += entries.size();
        send(
                peer,
                RaftMessageProto.newBuilder()
                        .setAppendRequest(AppendRequestProto.newBuilder()
                                .setPreviousIndex(previous)
                                .setPreviousTerm(storage.termAt(previous))
                                .addAllEntries(entries)
                                .setCommitIndex(commitIndex)
                                .setSentAtMs(nowMs)));
    }

    private List<LogEntryProto> entriesFrom(long first) {
        List<LogEntryProto> entries = new ArrayList<>();
        int bytes = 0;
        for (long index = first; index <= storage.lastIndex(); index++) {
            LogEntryProto entry = storage.entry(index);
            bytes += entry.getCommand().size();
            entries.add(entry);
            if (entries.size() >= maxEntriesPerMessage || bytes >= MAX_BYTES_PER_MESSAGE) {
                break;
            }
        }
        return entries;
    }

    private void receiveAppendReply(RaftMessageProto message, long nowMs) {
        PeerProgress progress = peers.get(message.getFrom());
        if (role != Role.LEADER || progress == null) {
            return;
        }
        AppendReplyProto reply = message.getAppendReply();
        progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, reply.getSentAtMs());
        if (!reply.getSuccess()) {
            progress.nextIndex =
                    Math.max(progress.matchIndex, Math.min(reply.getMatchIndex(), storage.lastIndex())) + 1;
            sendEntries(message.getFrom(), nowMs, true);
            return;
        }
        progress.matchIndex = Math.max(progress.matchIndex, reply.getMatchIndex());
        progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
        advanceCommit();
        sendEntries(message.getFrom(), nowMs, false);
    }

    private void advanceCommit() {
        long quorumIndex = quorumMatchIndex();
        if (quorumIndex <= commitIndex || !rules.commit().mayCommit(storage.termAt(quorumIndex), term)) {
            return;
        }
        commitTo(quorumIndex);
        if (!membership().getVotersList().contains(self.toString()) && commitIndex >= memberships.latestIndex()) {
            becomeFollower(term, "");
        }
    }

    /** The highest index that a quorum has stored; the leader counts with its synced entries only. */
    private long quorumMatchIndex() {
        return Quorum.majorityValue(membership().getVotersList(), voter -> {
            PeerProgress progress = peers.get(voter);
            return voter.equals(self.toString()) ? syncedIndex : progress == null ? 0 : progress.matchIndex;
        });
    }

    /** The latest time such that a quorum has answered messages sent then or later; the leader counts as current. */
    private long quorumAckMs(long nowMs) {
        return Quorum.majorityValue(membership().getVotersList(), voter -> {
            PeerProgress progress = peers.get(voter);
            return voter.equals(self.toString()) ? nowMs : progress == null ? Quorum.NONE : progress.ackedSentAtMs;
        });
    }

    private void commitTo(long index) {
        for (long next = commitIndex + 1; next <= index; next++) {
            committed.add(storage.entry(next));
        }
        commitIndex = Math.max(commitIndex, index);
    }

    // --- follower

    private void receiveAppend(RaftMessageProto message, long nowMs) {
        onLeaderContact(message.getFrom(), nowMs);
        AppendRequestProto request = message.getAppendRequest();
        long previous = request.getPreviousIndex();
        if (!matchesAt(previous, request.getPreviousTerm())) {
            replyToAppend(message.getFrom(), false, conflictHint(previous), request.getSentAtMs());
            return;
        }
        long last = previous;
        for (LogEntryProto entry : request.getEntriesList()) {
            acceptEntry(entry);
            last = entry.getIndex();
        }
        if (request.getCommitIndex() > commitIndex) {
            commitTo(Math.min(request.getCommitIndex(), last));
        }
        replyToAppend(message.getFrom(), true, last, request.getSentAtMs());
    }

    private boolean matchesAt(long index, long entryTerm) {
        return index <= commitIndex || storage.termAt(index) == entryTerm;
    }

    /** The index from which the leader should retry: the last one before the whole conflicting term. */
    private long conflictHint(long previous) {
        if (previous > storage.lastIndex()) {
            return storage.lastIndex();
        }
        long conflictingTerm = storage.termAt(previous);
        long index = previous;
        while (index > commitIndex && storage.termAt(index) == conflictingTerm) {
            index--;
        }
        return index;
    }

    private void acceptEntry(LogEntryProto entry) {
        if (entry.getIndex() <= commitIndex) {
            return;
        }
        if (storage.termAt(entry.getIndex()) == entry.getTerm()) {
            return;
        }
        if (entry.getIndex() <= storage.lastIndex()) {
            storage.truncateFrom(entry.getIndex());
            memberships.truncatedFrom(entry.getIndex());
        }
        storage.append(entry);
        memberships.appended(entry);
    }

    private void replyToAppend(String to, boolean success, long matchIndex, long sentAtMs) {
        send(
                to,
                RaftMessageProto.newBuilder()
                        .setAppendReply(AppendReplyProto.newBuilder()
                                .setSuccess(success)
                                .setMatchIndex(matchIndex)
                                .setSentAtMs(sentAtMs)));
    }

    private void onLeaderContact(String from, long nowMs) {
        if (role != Role.FOLLOWER) {
            becomeFollower(term, from);
        }
        leader = from;
        lastLeaderContactMs = nowMs;
        scheduleElection(nowMs);
    }

    // --- snapshots

    private void sendSnapshot(String peer, PeerProgress progress, long nowMs) {
        SnapshotMetaProto meta = storage.snapshotMeta();
        if (progress.snapshotIndex != meta.getIndex()) {
            progress.snapshotIndex = meta.getIndex();
            progress.snapshotOffset = 0;
            progress.snapshotSentAtMs = 0;
        }
        if (nowMs - progress.snapshotSentAtMs < timings.heartbeatMs() * 2 && progress.snapshotSentAtMs != 0) {
            return;
        }
        progress.snapshotSentAtMs = nowMs;
        ByteString data = storage.snapshotChunk(progress.snapshotOffset, SNAPSHOT_CHUNK_BYTES);
        send(
                peer,
                RaftMessageProto.newBuilder()
                        .setSnapshotChunk(SnapshotChunkProto.newBuilder()
                                .setMeta(meta)
                                .setOffset(progress.snapshotOffset)
                                .setData(data)
                                .setLast(data.size() < SNAPSHOT_CHUNK_BYTES)
                                .setSentAtMs(nowMs)));
    }

    private void receiveSnapshotChunk(RaftMessageProto message, long nowMs) {
        onLeaderContact(message.getFrom(), nowMs);
        SnapshotChunkProto chunk = message.getSnapshotChunk();
        SnapshotMetaProto meta = chunk.getMeta();
        if (meta.getIndex() <= commitIndex) {
            replyToSnapshot(message.getFrom(), chunk, 0, true);
            return;
        }
        boolean isComplete = incomingSnapshot.add(chunk);
        long nextOffset = incomingSnapshot.nextOffset();
        if (isComplete) {
            install(meta);
        }
        replyToSnapshot(message.getFrom(), chunk, nextOffset, isComplete);
    }

    private void install(SnapshotMetaProto meta) {
        ByteString data = incomingSnapshot.take();
        storage.saveSnapshot(meta, data);
        memberships.truncatedFrom(meta.getIndex());
        memberships.snapshotAt(meta.getIndex(), meta.getMembership());
        for (long index = storage.firstIndex(); index <= storage.lastIndex(); index++) {
            memberships.appended(storage.entry(index));
        }
        installedSnapshot = new InstalledSnapshot(meta, data);
        committed.clear();
        commitIndex = meta.getIndex();
    }

    private void replyToSnapshot(String to, SnapshotChunkProto chunk, long nextOffset, boolean done) {
        send(
                to,
                RaftMessageProto.newBuilder()
                        .setSnapshotReply(SnapshotReplyProto.newBuilder()
                                .setIndex(chunk.getMeta().getIndex())
                                .setNextOffset(nextOffset)
                                .setInstalled(done)
                                .setSentAtMs(chunk.getSentAtMs())));
    }

    private void receiveSnapshotReply(RaftMessageProto message, long nowMs) {
        PeerProgress progress = peers.get(message.getFrom());
        if (role != Role.LEADER || progress == null) {
            return;
        }
        SnapshotReplyProto reply = message.getSnapshotReply();
        progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, reply.getSentAtMs());
        if (reply.getIndex() != progress.snapshotIndex) {
            return;
        }
        progress.snapshotSentAtMs = 0;
        if (reply.getInstalled()) {
            progress.snapshotIndex = 0;
            progress.matchIndex = Math.max(progress.matchIndex, reply.getIndex());
            progress.nextIndex = progress.matchIndex + 1;
        } else {
            progress.snapshotOffset = reply.getNextOffset();
        }
        sendEntries(message.getFrom(), nowMs, true);
    }

    // --- membership

    /**
     * Appends the next single-server membership change, if there is one. Waits until the previous change and an entry
     * of this term are committed, since the quorums of uncommitted changes need not overlap.
     */
    private void changeMembership(long nowMs) {
        joinRequestedAtMs.values().removeIf(requestedAtMs -> nowMs - requestedAtMs > timings.electionTimeoutMs() * 2);
        boolean isChangeSafe = commitIndex >= memberships.latestIndex() && commitIndex >= termStartIndex;
        if (!isChangeSafe || transferring) {
            return;
        }
        nextMembership(nowMs).ifPresent(next -> {
            appendAsLeader(LogEntryProto.newBuilder().setMembership(next));
            syncPeers(nowMs);
            replicate(nowMs);
        });
    }

    private Optional<MembershipProto> nextMembership(long nowMs) {
        for (String joiner : joinRequestedAtMs.keySet()) {
            Optional<MembershipProto> next =
                    MembershipChange.next(membership(), joiner, isCaughtUp(joiner), isAnotherCaughtUp(joiner));
            if (next.isPresent()) {
                return next;
            }
        }
        return MembershipChange.replaceUnresponsive(membership(), unresponsiveVoters(nowMs), caughtUpLearners());
    }

    /** Records a join request, or relays it to the leader once: a joining replica may not know the leader. */
    private void receiveJoin(RaftMessageProto message, long nowMs) {
        if (role == Role.LEADER) {
            joinRequestedAtMs.put(message.getFrom(), nowMs);
            return;
        }
        boolean mayRelay = !leader.isEmpty() && !message.getJoin().getRelayed();
        if (mayRelay) {
            outbox.add(message.toBuilder()
                    .setTo(leader)
                    .setJoin(JoinProto.newBuilder().setRelayed(true))
                    .build());
        }
    }

    /** The voters that have been unresponsive for so long that they are presumed permanently lost. */
    private List<String> unresponsiveVoters(long nowMs) {
        boolean leadsLongEnough = nowMs - leaderSinceMs > timings.replaceAfterMs();
        if (!leadsLongEnough) {
            return List.of();
        }
        return membership().getVotersList().stream()
                .filter(voter -> peers.containsKey(voter))
                .filter(voter -> nowMs - peers.get(voter).ackedSentAtMs > timings.replaceAfterMs())
                .toList();
    }

    private List<String> caughtUpLearners() {
        return joinRequestedAtMs.keySet().stream()
                .filter(joiner -> membership().getLearnersList().contains(joiner) && isCaughtUp(joiner))
                .toList();
    }

    private boolean isAnotherCaughtUp(String joiner) {
        return joinRequestedAtMs.keySet().stream()
                .filter(other -> !other.equals(joiner) && !isVoter(other))
                .anyMatch(this::isCaughtUp);
    }

    private boolean isCaughtUp(String joiner) {
        PeerProgress progress = peers.get(joiner);
        return progress != null && progress.matchIndex + CAUGHT_UP_MAX_LAG_ENTRIES >= storage.lastIndex();
    }

    private void syncPeers(long nowMs) {
        Set<String> otherMembers = new HashSet<>(membership().getVotersList());
        otherMembers.addAll(membership().getLearnersList());
        otherMembers.remove(self.toString());
        peers.keySet().retainAll(otherMembers);
        otherMembers.forEach(peer ->
                peers.computeIfAbsent(peer, _id -> new PeerProgress(storage.lastIndex() + 1, nowMs)));
    }

    // --- helpers

    private boolean isVoter(String id) {
        return membership().getVotersList().contains(id);
    }

    private RaftMessageProto.Builder message(String to) {
        return RaftMessageProto.newBuilder()
                .setGroup(group)
                .setFrom(self.toString())
                .setTo(to)
                .setTerm(term);
    }

    private void send(String to, RaftMessageProto.Builder body) {
        outbox.add(body.setGroup(group)
                .setFrom(self.toString())
                .setTo(to)
                .setTerm(term)
                .build());
    }
}
