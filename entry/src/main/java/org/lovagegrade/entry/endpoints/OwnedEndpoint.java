package org.lovagegrade.entry.endpoints;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallDoubt;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.CallRequest;
import org.lovagegrade.entry.endpoints.internal.ConnectionPool;
import org.lovagegrade.entry.endpoints.internal.EndpointHealth;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.proto.AnnounceProto;
import org.lovagegrade.wire.proto.EndpointSummaryProto;
import org.lovagegrade.wire.proto.HeaderProto;
import org.xnio.XnioWorker;

/**
 * An endpoint that chose this entry as its owner: all calls to it go through here, so its slots are counted in one
 * place. For the entry's loop only.
 */
public final class OwnedEndpoint {
    private static final long SILENT_AFTER_MS = 3_000;
    private static final long PROBE_AFTER_MS = 1_000;
    private static final long FINISHED_GRACE_MS = 500;
    private static final long PROBE_TIMEOUT_MS = 1_000;
    private static final int LEAST_SERVER_ERROR = 500;
    private static final int SPARE_CONNECTIONS = 2;

    private final String self;
    private final EventLoop loop;
    private final Clock clock;
    private final ConnectionPool pool;
    private final EndpointHealth health = new EndpointHealth();
    private AnnounceProto announced;
    private long heardMs;
    private int busy;

    /**
     * Takes an endpoint over.
     *
     * @param self this entry's id
     * @param announced what the endpoint said
     * @param worker the network threads of HTTP
     * @param buffers the buffers of HTTP
     * @param loop the entry's loop
     * @param clock a monotonic clock
     */
    public OwnedEndpoint(
            String self,
            AnnounceProto announced,
            XnioWorker worker,
            ByteBufferPool buffers,
            EventLoop loop,
            Clock clock) {
        this.self = self;
        this.announced = announced;
        this.loop = loop;
        this.clock = clock;
        this.heardMs = clock.nowMs();
        Address address = new Address(announced.getHost(), announced.getPort());
        int mostConnections = Math.max(1, announced.getConnections() / 2 - SPARE_CONNECTIONS);
        this.pool = new ConnectionPool(address, mostConnections, worker, buffers, loop);
    }

    /**
     * Notes what the endpoint said now.
     *
     * @param announcement its latest word
     */
    public void heard(AnnounceProto announcement) {
        announced = announcement;
        heardMs = clock.nowMs();
    }

    /**
     * What the endpoint said last.
     *
     * @return its announcement
     */
    public AnnounceProto announced() {
        return announced;
    }

    /**
     * Whether it takes calls: it is heard and not leaving.
     *
     * @return true if so
     */
    public boolean isServing() {
        return !announced.getLeaving() && clock.nowMs() - heardMs < SILENT_AFTER_MS;
    }

    /**
     * Whether it is set apart for its failures.
     *
     * @return true if it gets only trial calls
     */
    public boolean isEjected() {
        return health.isEjected();
    }

    /**
     * Whether it may get a trial call now.
     *
     * @return true if its pause is over
     */
    public boolean mayTry() {
        return health.mayTry(clock.nowMs()) && free() > 0;
    }

    /**
     * Whether it can be forgotten.
     *
     * @return true if it has been silent and has no calls in flight
     */
    public boolean isGone() {
        return busy == 0 && clock.nowMs() - heardMs > SILENT_AFTER_MS * 2;
    }

    /**
     * The slots that are free.
     *
     * @return zero or more
     */
    public int free() {
        return Math.max(0, announced.getSlots() - announced.getBusyElsewhere() - busy);
    }

    /**
     * The calls in flight.
     *
     * @return zero or more
     */
    public int busy() {
        return busy;
    }

    /**
     * What other entries are told.
     *
     * @return the summary
     */
    public EndpointSummaryProto summary() {
        return EndpointSummaryProto.newBuilder()
                .setId(announced.getEndpoint())
                .setService(announced.getService())
                .setSlots(announced.getSlots())
                .setFree(free())
                .setUsable(isServing() && !health.isEjected())
                .setEpoch(announced.getEpoch())
                .build();
    }

    /** Probes the idle connections. */
    public void probeIdle() {
        pool.probeIdle();
    }

    /** Closes the connections that are not in use. */
    public void close() {
        pool.close();
    }

    /**
     * Sends a call; the caller has seen that a slot is free.
     *
     * @param call the call
     * @param result takes the answer, once, on the loop
     */
    public void send(CallRequest call, Consumer<EndpointAnswer> result) {
        busy++;
        if (health.isEjected()) {
            health.trialStarted();
        }
        new Sending(call, result).start();
    }

    private void note(EndpointAnswer answer) {
        boolean isFault = answer instanceof EndpointAnswer.Doubtful
                || (answer instanceof EndpointAnswer.NotRun notRun && notRun.reason() == CallRefusal.NO_CONNECTION)
                || (answer instanceof EndpointAnswer.Whole whole && whole.httpStatus() >= LEAST_SERVER_ERROR);
        if (isFault) {
            health.failed(clock.nowMs());
        } else {
            health.succeeded();
        }
    }

    /** One call on its way, watched by probes on other connections. */
    private final class Sending {
        private final CallRequest call;
        private final Consumer<EndpointAnswer> result;
        private ConnectionPool.Ticket ticket;
        private boolean done;
        private boolean wasFinished;
        private boolean wasUnreachable;

        Sending(CallRequest call, Consumer<EndpointAnswer> result) {
            this.call = call;
            this.result = result;
        }

        void start() {
            long leftMs = call.deadlineMs() - clock.nowMs();
            ticket = pool.send(request(leftMs), call.body(), false, this::answered);
            loop.schedule(
                    Math.max(0, leftMs), () -> ticket.abandon(new EndpointAnswer.Doubtful(CallDoubt.DEADLINE_PASSED)));
            loop.schedule(PROBE_AFTER_MS, this::probe);
        }

        private ClientRequest request(long leftMs) {
            ClientRequest request =
                    pool.requestTo(call.method(), call.path(), call.body().size());
            for (HeaderProto header : call.headers()) {
                request.getRequestHeaders().add(new HttpString(header.getName()), header.getValue());
            }
            request.getRequestHeaders()
                    .put(EndpointProtocol.CALL_ID, call.id())
                    .put(EndpointProtocol.SESSION, self + "/" + announced.getEpoch())
                    .put(EndpointProtocol.DEADLINE_MS, leftMs);
            return request;
        }

        private void answered(EndpointAnswer answer) {
            if (done) {
                return;
            }
            done = true;
            busy--;
            note(answer);
            result.accept(answer);
        }

        /** Asks over a new connection what became of the call; the old one may have gone silent. */
        private void probe() {
            if (done) {
                return;
            }
            ClientRequest probe =
                    pool.requestTo(Methods.GET.toString(), EndpointProtocol.PROBE_PATH + "?call=" + call.id(), 0);
            ConnectionPool.Ticket asked = pool.send(probe, ByteString.EMPTY, true, this::probed);
            loop.schedule(
                    PROBE_TIMEOUT_MS, () -> asked.abandon(new EndpointAnswer.Doubtful(CallDoubt.CONNECTION_SILENT)));
        }

        private void probed(EndpointAnswer answer) {
            if (done) {
                return;
            }
            if (!(answer instanceof EndpointAnswer.Whole whole)) {
                unreachable();
                return;
            }
            wasUnreachable = false;
            String state = header(whole, EndpointProtocol.CALL_STATE);
            if (state.equals(EndpointProtocol.NEVER)) {
                ticket.abandon(new EndpointAnswer.NotRun(CallRefusal.NEVER_ARRIVED));
            } else if (state.equals(EndpointProtocol.FINISHED) && wasFinished) {
                ticket.abandon(new EndpointAnswer.Doubtful(CallDoubt.CONNECTION_SILENT));
            } else {
                wasFinished = state.equals(EndpointProtocol.FINISHED);
                loop.schedule(wasFinished ? FINISHED_GRACE_MS : PROBE_AFTER_MS, this::probe);
            }
        }

        private void unreachable() {
            if (wasUnreachable) {
                ticket.abandon(new EndpointAnswer.Doubtful(CallDoubt.CONNECTION_SILENT));
                return;
            }
            wasUnreachable = true;
            loop.schedule(FINISHED_GRACE_MS, this::probe);
        }

        private static String header(EndpointAnswer.Whole whole, HttpString name) {
            return whole.headers().stream()
                    .filter(header -> name.equalToString(header.getName()))
                    .map(HeaderProto::getValue)
                    .findFirst()
                    .orElse("");
        }
    }
}
