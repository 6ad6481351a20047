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

final class UnresponsiveDomainsTest {
    private static final long SENT_MS = 10_000;
    /** Far longer than a healthy worker takes, and shorter than the timeout of an order. */
    private static final long OVERDUE_MS = SENT_MS + 200;

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
        WorkerSession session = new WorkerSession(machine.workers().get(id), 1, SENT_MS);
        session.activated = true;
        sessions.add(session);
        return session;
    }

    private static RunKey run(String job) {
        return new RunKey(new TaskKey(job, 0, 0, 0), 1);
    }

    @Test
    void shouldReportADomainOnceSeveralOfItsWorkersAreOverdue() {
        // given
        worker("a1", "a").startSent(run("j1"), SENT_MS);
        worker("a2", "a").startSent(run("j2"), SENT_MS);
        worker("a3", "a");
        worker("b1", "b");

        // when, then
        assertThat(UnresponsiveDomains.among(sessions, SENT_MS + 100)).isEmpty();
        assertThat(UnresponsiveDomains.among(sessions, OVERDUE_MS)).containsExactly("a");
    }

    @Test
    void shouldNotReportADomainWithAResponsiveWorker() {
        // given
        worker("a1", "a").startSent(run("j1"), SENT_MS);
        worker("a2", "a").startSent(run("j2"), SENT_MS);
        worker("a3", "a").recordAnswer(OVERDUE_MS - 10);

        // when, then
        assertThat(UnresponsiveDomains.among(sessions, OVERDUE_MS)).isEmpty();
    }

    @Test
    void shouldNotReportADomainForASingleOverdueWorker() {
        // given
        WorkerSession overdue = worker("a1", "a");
        overdue.startSent(run("j1"), SENT_MS);
        WorkerSession other = worker("a2", "a");

        // when, then
        assertThat(UnresponsiveDomains.among(sessions, OVERDUE_MS)).isEmpty();
        assertThat(overdue.isUsable(OVERDUE_MS)).isFalse();
        assertThat(other.isUsable(OVERDUE_MS)).isTrue();
    }

    @Test
    void shouldUseAnOverdueWorkerAgainOnceItsStartIsSettled() {
        // given
        WorkerSession overdue = worker("a1", "a");
        overdue.startSent(run("j1"), SENT_MS);

        // when
        overdue.startSettled(run("j1"));

        // then
        assertThat(overdue.isUsable(OVERDUE_MS)).isTrue();
    }
}
