package junipercourse.pg;

import java.nio.ByteBuffer;
import junipercourse.core.Counters.Count;
import junipercourse.liveness.ArrivalInterval;
import junipercourse.net.Connection;
import org.xnio.StreamConnection;

/**
 * One client's connection: bounds what it holds of its client's bytes and for how long it waits for
 * them, and closes it, which always ends in {@link #leave}. What the bytes say is the {@link
 * PgProtocolHandler}'s. The front owns the session and its slot.
 */
final class Session implements Connection.Handler {
    private static final int SMALL = 4 * 1024; // a usual query: never closed for what others send
    private static final int MOST_AHEAD =
            16 * 1024; // held of a client that writes on while it waits
    private static final int MOST_OVERRUN = 1 << 20; // thrown away of what it writes beyond that
    private static final int MOST_UNSENT = 64 * 1024; // of answers that a client does not read
    private static final double LOBBY_S =
            0.3; // for one that finds no place, until its start-up packet
    private static final double FIRST_QUERY_S =
            2.4; // from connecting until the first query is whole
    private static final double MESSAGE_S = 2.0; // from a later message's first byte to its last
    private static final double READING_S = 3.0; // for a client to take some of what is sent to it

    private final PgServer front;
    private final PgProtocolHandler conversation;
    private final FrontendMessageDecoder in = new FrontendMessageDecoder();
    private final Connection link;
    final int secret;
    long slot;
    // Seconds attended: no gap of our own is held against the client.
    private final double connectedAt;
    private double idleSince;
    private double partSince = Double.POSITIVE_INFINITY;
    private double tookAt;
    private ArrivalInterval arrival;
    private long unsentBefore;
    private int heldBefore;
    private long overrun;
    private boolean inLobby;
    private boolean asked;
    private boolean left;

    Session(StreamConnection connection, PgServer front, int secret) {
        this.front = front;
        this.secret = secret;
        this.conversation = new PgProtocolHandler(front, this);
        connectedAt = front.loop().responsiveSeconds();
        idleSince = connectedAt;
        tookAt = connectedAt;
        this.link = new Connection(front.loop(), connection, this);
    }

    /** There is no place for it: it is told so once it has said what it wants. */
    void toLobby() {
        inLobby = true;
    }

    boolean inLobby() {
        return inLobby;
    }

    /** Since when no query is open, for one that has asked before; never, as long as one is. */
    double idleSince() {
        return conversation.waiting() || !asked || left ? Double.POSITIVE_INFINITY : idleSince;
    }

    /** Since when it is connected without having asked anything; never, once it has. */
    double silentSince() {
        return asked || left ? Double.POSITIVE_INFINITY : connectedAt;
    }

    /**
     * Closes a session whose client has had its time: to ask, to end what it began, or to read.
     * {@code now} is in seconds attended, as are all times here.
     */
    void expire(double now, double mostIdle) {
        if (link.unsentBytes() == 0 || link.unsentBytes() != unsentBefore) {
            tookAt = now;
            unsentBefore = link.unsentBytes();
        }
        if (now > tookAt + READING_S) {
            close(); // it would not read the reason either
        } else if (inLobby && now > connectedAt + LOBBY_S) {
            fatal("53300", "too many clients");
        } else if (now > silentSince() + FIRST_QUERY_S) {
            fatal("57014", "no query came in time");
        } else if (!conversation.waiting() && now > partSince + MESSAGE_S) {
            fatal("08P01", "a message without its end");
        } else if (now > idleSince() + mostIdle) {
            link.readNow();
            boolean inTheMiddle =
                    link.unsentBytes() > 0 || in.held() > 0; // of an answer, or of a query
            if (now > idleSince() + mostIdle && !inTheMiddle) {
                fatal("57P05", "closed after being idle");
            }
        }
    }

    /** Guards a query that has come and was not read yet against the close of its idle session. */
    void poll() {
        link.readNow();
    }

    // ---- what comes in ----

    @Override
    public void received(ByteBuffer bytes) {
        idleSince = front.loop().responsiveSeconds();
        arrival = link.arrival();
        in.add(ahead(bytes));
        if (overrun > MOST_OVERRUN) {
            tooMuchAhead();
        } else {
            work();
        }
    }

    /**
     * Of bytes that come while a query is open, those that are held. Reading goes on beyond them,
     * since only so the client's end is seen and its query given up; what is thrown away costs the
     * session, later.
     */
    private ByteBuffer ahead(ByteBuffer bytes) {
        if (overrun > 0 || conversation.waiting()) {
            int room = overrun > 0 ? 0 : Math.max(0, MOST_AHEAD - in.held());
            int over = Math.max(0, bytes.remaining() - room);
            overrun += over;
            bytes.limit(bytes.limit() - over);
        }
        return bytes;
    }

    private void tooMuchAhead() {
        front.counters().increment(Count.CLIENTS_GARBLED);
        fatal("08P01", "too much was sent ahead of an answer");
    }

    private void work() {
        try {
            boolean more = true;
            while (more && !conversation.waiting() && !left && link.unsentBytes() <= MOST_UNSENT) {
                more = conversation.step(in);
            }
            partSince =
                    in.held() == 0 || conversation.waiting()
                            ? Double.POSITIVE_INFINITY
                            : Math.min(partSince, front.loop().responsiveSeconds());
            int grown = in.held() - heldBefore;
            heldBefore = in.held();
            // Guards memory against many who each send the better part of a large message.
            if (!left && !front.holds(grown) && in.held() > SMALL) {
                fatal("53200", "too much is held for unfinished messages");
                return;
            }
            if (overrun > 0 && !more && !conversation.waiting() && !left) {
                tooMuchAhead(); // all that was held whole has been answered
                return;
            }
            link.setReadingEnabled(
                    conversation.waiting()
                            || overrun > 0
                            || in.held() < FrontendMessageDecoder.MAX_MESSAGE + 5);
        } catch (FrontendMessageDecoder.MalformedMessageException e) {
            front.counters().increment(Count.CLIENTS_GARBLED);
            fatal("08P01", e.getMessage());
        }
    }

    /** A client that did not read its answers has caught up. */
    @Override
    public void flushed() {
        work();
    }

    /** When the bytes that were taken last have come. */
    ArrivalInterval arrival() {
        return arrival;
    }

    /** A query is whole: what is held from now on is a part of the next. */
    void asks() {
        asked = true;
        partSince = Double.POSITIVE_INFINITY;
    }

    /** The client no longer wants the answer to what it has asked. */
    void cancelled() {
        conversation.cancelled();
    }

    // ---- what goes out ----

    void write(byte[] bytes) {
        link.write(bytes);
    }

    /** Sends the answer to the query that was open. */
    void answered(byte[] bytes) {
        idleSince = front.loop().responsiveSeconds();
        link.write(bytes);
        front.loop().execute(this::work); // a next query may have come already
    }

    /** Says why, and ends the session. */
    void fatal(String code, String why) {
        end(goodbye(code, why));
    }

    private static byte[] goodbye(String code, String why) {
        return new BackendMessageEncoder().error("FATAL", code, why).bytes();
    }

    // ---- the end ----

    /**
     * Ends the session by us, in order: last words, the end of what we send, and what the client
     * sends until it has ended, too, is thrown away. That comes first of all, so that nothing lies
     * between the last look for a query ({@link #poll}) and this.
     */
    void end(byte[] lastWords) {
        if (!left) {
            front.places().linger(link, lastWords);
            leave();
        }
    }

    @Override
    public void handlerFailed() {
        front.counters().increment(Count.INTERNAL_ERRORS);
        disconnected();
    }

    @Override
    public void disconnected() {
        if (!left) {
            front.places().closed();
            leave();
        }
    }

    /** Closes at once, for a client that takes nothing any more. */
    private void close() {
        link.close();
        disconnected();
    }

    /** The one way out: gives back what is held, the open query and the slot, once. */
    private void leave() {
        left = true;
        front.holds(-heldBefore);
        conversation.end();
        front.places().left(this);
    }
}
