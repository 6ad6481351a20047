package org.lovagegrade.graph.leader;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.WorkerProto;

final class SilentDomainsTest {
    private static final long SENT_MS = 10_000;
    /** Far longer than a healthy worker takes, and shorter than the timeout of an order. */
    private static final long LATE_MS = SENT_MS + 200;

    private final GraphStateMachine machine = GraphStateMachine.withRetention(1_000);
    private final List<WorkerSession> sessions = new ArrayList<>();

    private WorkerSession worker(String id, String domain) {
        machine.apply(GraphCommandProto.newBuilder()
                .setWorker(WorkerProto.newBuilder()
                        .setId(id)
                        .setBornMs(1)
                        .setAddress(id + ":1")
                        .setFailureDomain(domain))
                .build());
        WorkerSession session = new WorkerSession(machine.workers().get(id), SENT_MS);
        session.introduced = true;
        sessions.add(session);
        return session;
    }

    private static RunKey run(String job) {
        return new RunKey(new TaskKey(job, 0, 0, 0), 1);
    }

    @Test
    void shouldKeepTheWholeDomainFromStartsOnceSeveralOfItsWorkersAreLate() {
        // given
        worker("a1", "a").startSent(run("j1"), SENT_MS);
        worker("a2", "a").startSent(run("j2"), SENT_MS);
        worker("a3", "a");
        worker("b1", "b");

        // when, then
        assertThat(SilentDomains.among(sessions, SENT_MS + 100)).isEmpty();
        assertThat(SilentDomains.among(sessions, LATE_MS)).containsExactly("a");
    }

    @Test
    void shouldNotAccuseADomainOfWhichAnyWorkerIsHeard() {
        // given
        worker("a1", "a").startSent(run("j1"), SENT_MS);
        worker("a2", "a").startSent(run("j2"), SENT_MS);
        worker("a3", "a").answered(LATE_MS - 10);

        // when, then
        assertThat(SilentDomains.among(sessions, LATE_MS)).isEmpty();
    }

    @Test
    void shouldTakeOneLateWorkerForAFaultOfItsOwn() {
        // given
        WorkerSession late = worker("a1", "a");
        late.startSent(run("j1"), SENT_MS);
        WorkerSession other = worker("a2", "a");

        // when, then
        assertThat(SilentDomains.among(sessions, LATE_MS)).isEmpty();
        assertThat(late.isUsable(LATE_MS)).isFalse();
        assertThat(other.isUsable(LATE_MS)).isTrue();
    }

    @Test
    void shouldUseALateWorkerAgainOnceItsStartIsSettled() {
        // given
        WorkerSession late = worker("a1", "a");
        late.startSent(run("j1"), SENT_MS);

        // when
        late.startSettled(run("j1"));

        // then
        assertThat(late.isUsable(LATE_MS)).isTrue();
    }
}
