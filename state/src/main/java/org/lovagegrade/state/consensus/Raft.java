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
 * membership change and snapshots. It has no thread, no clock and no I/O of its own but its storage.
 *
 * <p>The driver must call {@link RaftStorage#sync()} and then {@link #synced} before it sends what {@link
 * #takeMessages()} gives:
 *
 * <pre>{@code
 * raft.receive(message, nowMs);
 * storage.sync();
 * raft.synced();
 * raft.takeMessages().forEach(network::send);
 * raft.takeCommitted().forEach(machine::apply);
 * }</pre>
 */
public final class Raft {
    private static final int MAX_BYTES_PER_MESSAGE = 1024 * 1024;
    private static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;
    private static final long CAUGHT_UP_ENTRIES = 64;
    /** Beyond the election timeout, so that the others have waited for it too when the first one asks: a twentieth. */
    private static final long MARGIN_PART = 20;
    /** Voters stand one after the other, this part of the election timeout apart: longer than a vote takes. */
    private static final long TURN_PART = 8;
    /** Chance within a turn, for voters that see the membership differently. */
    private static final long CHANCE_PART = 16;
    /** Asking beforehand harms nobody, so it is done again after this part of the election timeout. */
    private static final long ASK_AGAIN_PART = 4;

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
    private final int entriesPerMessage;
    private final MembershipHistory memberships = new MembershipHistory();
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    private final Set<String> votes = new HashSet<>();
    private final Map<String, Long> joiners = new TreeMap<>();
    private final IncomingSnapshot incoming = new IncomingSnapshot();
    private List<RaftMessageProto> outbox = new ArrayList<>();
    private List<LogEntryProto> committed = new ArrayList<>();
    private InstalledSnapshot installed;
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
    private long transferUntilMs;

    Raft(RaftBuilder builder, long nowMs) {
        this.group = builder.group;
        this.self = builder.self;
        this.timings = builder.timings;
        this.storage = builder.storage;
        this.rules = builder.rules;
        this.randomBelow = builder.randomBelow;
        this.entriesPerMessage = builder.entriesPerMessage;
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
     * Begins to describe a replica.
     *
     * @param self its identity
     * @param storage what it keeps
     * @return a builder
     */
    public static RaftBuilder replica(ReplicaId self, RaftStorage storage) {
        return new RaftBuilder(self, storage);
    }

    /**
     * Takes a message in; one for another group or another incarnation is dropped.
     *
     * @param message the message
     * @param nowMs the present time in milliseconds
     */
    public void receive(RaftMessageProto message, long nowMs) {
        boolean isForThis = message.hasJoin() || message.getTo().equals(self.toString());
        if (message.getGroup() != group || !isForThis) {
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
            answerStale(message);
            return;
        }
        dispatchCurrent(message, nowMs);
    }

    /**
     * Lets time pass: elections, heartbeats, membership changes.
     *
     * @param nowMs the present time in milliseconds
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

    /** Must be called when the storage was synced. */
    public void synced() {
        syncedIndex = storage.lastIndex();
        if (role == Role.LEADER) {
            advanceCommit();
        }
    }

    /**
     * Appends a command, if this replica leads.
     *
     * @param command the command
     * @return the index of its entry, or empty
     */
    public OptionalLong propose(ByteString command) {
        if (role != Role.LEADER || transferring) {
            return OptionalLong.empty();
        }
        LogEntryProto entry = appendAsLeader(LogEntryProto.newBuilder().setCommand(command));
        return OptionalLong.of(entry.getIndex());
    }

    /**
     * Sends what was proposed to the followers; called once for many proposals.
     *
     * @param nowMs the present time in milliseconds
     */
    public void replicate(long nowMs) {
        if (role == Role.LEADER) {
            peers.keySet().forEach(peer -> sendEntries(peer, nowMs, false));
        }
    }

    /**
     * Hands leadership to the follower that is furthest along; this replica decides nothing more in its term.
     *
     * @param nowMs the present time in milliseconds
     */
    public void transferLeadership(long nowMs) {
        if (role != Role.LEADER) {
            return;
        }
        transferring = true;
        transferUntilMs = nowMs + timings.electionTimeoutMs();
        peers.entrySet().stream()
                .filter(peer -> isVoter(peer.getKey()))
                .max((a, b) -> Long.compare(a.getValue().matchIndex, b.getValue().matchIndex))
                .ifPresent(peer -> {
                    sendEntries(peer.getKey(), nowMs, true);
                    send(peer.getKey(), RaftMessageProto.newBuilder().setTransfer(TransferProto.getDefaultInstance()));
                });
    }

    /**
     * Asks to be taken into the group, as a replica without a vote does.
     *
     * @param name the name of the replica to ask
     */
    public void askToJoin(String name) {
        send(ReplicaId.first(name).toString(), RaftMessageProto.newBuilder().setJoin(JoinProto.getDefaultInstance()));
    }

    /**
     * Whether this replica should ask to be taken in: it has no vote, or it has been out of touch for so long that it may
     * have been replaced.
     *
     * @param nowMs the present time in milliseconds
     * @return true if so
     */
    public boolean shouldAskToJoin(long nowMs) {
        return !isMember() || (role != Role.LEADER && nowMs - lastLeaderContactMs > timings.replaceAfterMs());
    }

    /**
     * Takes the messages to send; only after a sync.
     *
     * @return the messages, in order
     */
    public List<RaftMessageProto> takeMessages() {
        List<RaftMessageProto> taken = outbox;
        outbox = new ArrayList<>();
        return taken;
    }

    /**
     * Takes the entries that were committed since the last call.
     *
     * @return the entries, in order
     */
    public List<LogEntryProto> takeCommitted() {
        List<LogEntryProto> taken = committed;
        committed = new ArrayList<>();
        return taken;
    }

    /**
     * Takes the snapshot that was installed since the last call; it precedes what {@link #takeCommitted()} gives.
     *
     * @return the snapshot, or empty
     */
    public Optional<InstalledSnapshot> takeInstalledSnapshot() {
        Optional<InstalledSnapshot> taken = Optional.ofNullable(installed);
        installed = null;
        return taken;
    }

    /**
     * Whether this replica leads, by what it knows.
     *
     * @return true for a leader, also one without a lease
     */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /**
     * Whether this replica is handing its leadership over.
     *
     * @return true for a leader that decides nothing more until the transfer has succeeded or was given up
     */
    public boolean isTransferring() {
        return role == Role.LEADER && transferring;
    }

    /**
     * Whether this replica may decide: it leads, has committed in its term, and no other can have been elected.
     *
     * @param nowMs the present time in milliseconds, read just before
     * @return true if so
     */
    public boolean holdsLease(long nowMs) {
        return role == Role.LEADER
                && !transferring
                && commitIndex >= termStartIndex
                && rules.lease().isGood(nowMs, quorumAckMs(nowMs) + timings.leaseMs());
    }

    /**
     * The leader that this replica knows of.
     *
     * @return its id, or an empty text
     */
    public String leader() {
        return leader;
    }

    /**
     * The present term.
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
     * @return the latest in the log
     */
    public MembershipProto membership() {
        return memberships.latest();
    }

    /**
     * The membership that a quorum has; what people may count on.
     *
     * @return the latest that is committed
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
    public boolean isMember() {
        return isVoter(self.toString());
    }

    private void dispatchCurrent(RaftMessageProto message, long nowMs) {
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

    private void answerStale(RaftMessageProto message) {
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
            wonVotes(preVote, nowMs);
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
        boolean leaderIsHeard = role == Role.LEADER
                ? quorumAckMs(nowMs) + timings.electionTimeoutMs() > nowMs
                : nowMs - lastLeaderContactMs < timings.electionTimeoutMs();
        if (leaderIsHeard && !request.getTransfer()) {
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
            wonVotes(reply.getPreVote(), nowMs);
        }
    }

    private void wonVotes(boolean preVote, long nowMs) {
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
        joiners.clear();
        syncPeers(nowMs);
        // A new leader holds no lease until its own heartbeats are answered.
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

    /** When to stand if no leader is heard from now on. */
    private void scheduleElection(long nowMs) {
        long timeoutMs = timings.electionTimeoutMs();
        long turnMs = turn() * timeoutMs / TURN_PART;
        electionDueMs = nowMs + timeoutMs + timeoutMs / MARGIN_PART + turnMs + chanceBelowMs(timeoutMs / CHANCE_PART);
    }

    /** When to stand again if this campaign is not won; by chance, since a vote that was split must not split again. */
    private void scheduleNextCampaign(boolean preVote, long nowMs) {
        long timeoutMs = preVote ? timings.electionTimeoutMs() / ASK_AGAIN_PART : timings.electionTimeoutMs();
        electionDueMs = nowMs + timeoutMs + chanceBelowMs(timeoutMs);
    }

    private long chanceBelowMs(long boundMs) {
        return randomBelow.applyAsLong(Math.max(1, boundMs));
    }

    /** The place of this replica among the voters that may follow the leader it knows. */
    private long turn() {
        return membership().getVotersList().stream()
                .filter(voter -> !voter.equals(leader) && voter.compareTo(self.toString()) < 0)
                .count();
    }

    private void saveHardState() {
        storage.saveHardState(
                HardStateProto.newBuilder().setTerm(term).setVotedFor(votedFor).build());
    }

    // --- leading

    private void tickLeader(long nowMs) {
        long heardMs = Math.max(quorumAckMs(nowMs), leaderSinceMs);
        boolean isCutOff = nowMs - heardMs > timings.electionTimeoutMs() * 2;
        if (isCutOff || (transferring && nowMs >= transferUntilMs)) {
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

    private void sendEntries(String peer, long nowMs, boolean evenIfNone) {
        PeerProgress progress = peers.get(peer);
        if (progress.nextIndex < storage.firstIndex()
                || storage.termAt(progress.nextIndex - 1) == RaftStorage.NO_TERM) {
            sendSnapshot(peer, progress, nowMs);
            return;
        }
        List<LogEntryProto> entries = entriesFrom(progress.nextIndex);
        if (entries.isEmpty() && !evenIfNone) {
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
            if (entries.size() >= entriesPerMessage || bytes >= MAX_BYTES_PER_MESSAGE) {
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
        long agreed = quorumMatch();
        if (agreed <= commitIndex || !rules.commit().mayCommit(storage.termAt(agreed), term)) {
            return;
        }
        commitTo(agreed);
        if (!membership().getVotersList().contains(self.toString()) && commitIndex >= memberships.latestIndex()) {
            becomeFollower(term, "");
        }
    }

    private long quorumMatch() {
        return Quorum.reached(membership().getVotersList(), voter -> {
            PeerProgress progress = peers.get(voter);
            return voter.equals(self.toString()) ? syncedIndex : progress == null ? 0 : progress.matchIndex;
        });
    }

    private long quorumAckMs(long nowMs) {
        return Quorum.reached(membership().getVotersList(), voter -> {
            PeerProgress progress = peers.get(voter);
            return voter.equals(self.toString()) ? nowMs : progress == null ? Quorum.NOTHING : progress.ackedSentAtMs;
        });
    }

    private void commitTo(long index) {
        for (long next = commitIndex + 1; next <= index; next++) {
            committed.add(storage.entry(next));
        }
        commitIndex = Math.max(commitIndex, index);
    }

    // --- following

    private void receiveAppend(RaftMessageProto message, long nowMs) {
        heardLeader(message.getFrom(), nowMs);
        AppendRequestProto request = message.getAppendRequest();
        long previous = request.getPreviousIndex();
        if (!agreesAt(previous, request.getPreviousTerm())) {
            replyToAppend(message.getFrom(), false, hintBelow(previous), request.getSentAtMs());
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

    private boolean agreesAt(long index, long entryTerm) {
        return index <= commitIndex || storage.termAt(index) == entryTerm;
    }

    /** Where the leader should try next: before the whole term that differs. */
    private long hintBelow(long previous) {
        if (previous > storage.lastIndex()) {
            return storage.lastIndex();
        }
        long differing = storage.termAt(previous);
        long index = previous;
        while (index > commitIndex && storage.termAt(index) == differing) {
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

    private void heardLeader(String from, long nowMs) {
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
        heardLeader(message.getFrom(), nowMs);
        SnapshotChunkProto chunk = message.getSnapshotChunk();
        SnapshotMetaProto meta = chunk.getMeta();
        if (meta.getIndex() <= commitIndex) {
            replyToSnapshot(message.getFrom(), chunk, 0, true);
            return;
        }
        boolean isWhole = incoming.add(chunk);
        long nextOffset = incoming.nextOffset();
        if (isWhole) {
            install(meta);
        }
        replyToSnapshot(message.getFrom(), chunk, nextOffset, isWhole);
    }

    private void install(SnapshotMetaProto meta) {
        ByteString data = incoming.take();
        storage.saveSnapshot(meta, data);
        memberships.truncatedFrom(meta.getIndex());
        memberships.snapshotAt(meta.getIndex(), meta.getMembership());
        for (long index = storage.firstIndex(); index <= storage.lastIndex(); index++) {
            memberships.appended(storage.entry(index));
        }
        installed = new InstalledSnapshot(meta, data);
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

    /** Takes joiners in, one change at a time: learner first, then the lost identity leaves, then the vote. */
    private void changeMembership(long nowMs) {
        joiners.values().removeIf(heardMs -> nowMs - heardMs > timings.electionTimeoutMs() * 2);
        boolean settled = commitIndex >= memberships.latestIndex() && commitIndex >= termStartIndex;
        if (!settled || transferring) {
            return;
        }
        nextMembership(nowMs).ifPresent(next -> {
            appendAsLeader(LogEntryProto.newBuilder().setMembership(next));
            syncPeers(nowMs);
            replicate(nowMs);
        });
    }

    private Optional<MembershipProto> nextMembership(long nowMs) {
        for (String joiner : joiners.keySet()) {
            Optional<MembershipProto> next =
                    MembershipChange.next(membership(), joiner, isCaughtUp(joiner), isAnotherReady(joiner));
            if (next.isPresent()) {
                return next;
            }
        }
        return MembershipChange.replacing(membership(), silentVoters(nowMs), readyLearners());
    }

    /** Only the leader takes replicas in; a joiner knows some replicas, and perhaps not the leader. */
    private void receiveJoin(RaftMessageProto message, long nowMs) {
        if (role == Role.LEADER) {
            joiners.put(message.getFrom(), nowMs);
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

    /** The voters that have not answered for so long that they may be gone for good. */
    private List<String> silentVoters(long nowMs) {
        boolean leadsLongEnough = nowMs - leaderSinceMs > timings.replaceAfterMs();
        if (!leadsLongEnough) {
            return List.of();
        }
        return membership().getVotersList().stream()
                .filter(voter -> peers.containsKey(voter))
                .filter(voter -> nowMs - peers.get(voter).ackedSentAtMs > timings.replaceAfterMs())
                .toList();
    }

    private List<String> readyLearners() {
        return joiners.keySet().stream()
                .filter(joiner -> membership().getLearnersList().contains(joiner) && isCaughtUp(joiner))
                .toList();
    }

    private boolean isAnotherReady(String joiner) {
        return joiners.keySet().stream()
                .filter(other -> !other.equals(joiner) && !isVoter(other))
                .anyMatch(this::isCaughtUp);
    }

    private boolean isCaughtUp(String joiner) {
        PeerProgress progress = peers.get(joiner);
        return progress != null && progress.matchIndex + CAUGHT_UP_ENTRIES >= storage.lastIndex();
    }

    private void syncPeers(long nowMs) {
        Set<String> wanted = new HashSet<>(membership().getVotersList());
        wanted.addAll(membership().getLearnersList());
        wanted.remove(self.toString());
        peers.keySet().retainAll(wanted);
        wanted.forEach(peer -> peers.computeIfAbsent(peer, _id -> new PeerProgress(storage.lastIndex() + 1, nowMs)));
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
