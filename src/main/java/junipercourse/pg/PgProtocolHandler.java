package junipercourse.pg;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import junipercourse.core.Counters.Count;
import junipercourse.core.Query;
import junipercourse.core.ResponseHandler;
import junipercourse.core.StatusTables;

/**
 * What one client says, message by message, and what it is told. It has one query open at most,
 * which is given up in {@link #end} or {@link #cancelled} and nowhere else.
 */
final class PgProtocolHandler implements ResponseHandler {
    private static final Pattern SHOW =
            Pattern.compile("\\s*show\\s+([a-z_]+)\\s*;?\\s*", Pattern.CASE_INSENSITIVE);
    private static final byte[] NOTHING = {};

    private final PgServer front;
    private final Session session;
    private boolean started;
    private boolean waiting;
    private long open;

    PgProtocolHandler(PgServer front, Session session) {
        this.front = front;
        this.session = session;
    }

    /** Whether a query is open. */
    boolean waiting() {
        return waiting;
    }

    // ---- what comes in ----

    /** Takes one packet or message; false if more bytes are needed. */
    boolean step(FrontendMessageDecoder in)
            throws FrontendMessageDecoder.MalformedMessageException {
        if (!started) {
            FrontendMessageDecoder.Message m = in.startup();
            if (m != null) {
                startup(StartupPacket.read(m.body()));
            }
            return m != null;
        }
        FrontendMessageDecoder.Message m = in.message();
        if (m != null) {
            message(m);
        }
        return m != null;
    }

    private void startup(StartupPacket packet) {
        switch (packet.kind()) {
            case ENCRYPTION -> session.write(new byte[] {'N'});
            case CANCEL -> {
                if (packet.cancelled() != null) {
                    front.cancel(packet.cancelled().process(), packet.cancelled().secret());
                }
                session.end(NOTHING);
            }
            case START -> start(packet);
        }
    }

    private void start(StartupPacket packet) {
        started = true;
        if (session.inLobby()) { // what follows the start-up packet is answered by this, too
            front.counters().increment(Count.CLIENTS_TURNED_AWAY);
            session.fatal("53300", "too many clients" + front.comeBack());
            return;
        }
        session.write(
                packet.greeting(new StartupPacket.Key((int) session.slot, session.secret)).bytes());
    }

    private void message(FrontendMessageDecoder.Message m) {
        switch (m.type()) {
            case 'Q' -> query(m.body());
            case 'X' -> session.end(NOTHING);
            case 'H', 'S' -> {
                if (m.type() == 'S') {
                    say(new BackendMessageEncoder());
                }
            }
            default -> {
                front.counters().increment(Count.CLIENTS_GARBLED);
                session.fatal(
                        "0A000",
                        "only simple queries are taken here, no message of type " + (int) m.type());
            }
        }
    }

    private void query(byte[] body) {
        session.asks();
        if (body.length == 0 || body[body.length - 1] != 0) {
            front.counters().increment(Count.CLIENTS_GARBLED);
            session.fatal("08P01", "a query without its end");
            return;
        }
        String text = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
        if (text.isBlank()) {
            say(new BackendMessageEncoder().emptyQuery());
            return;
        }
        Matcher show = SHOW.matcher(text);
        StatusTables.Table table = show.matches() ? front.shows().table(show.group(1)) : null;
        if (table != null) {
            say(new BackendMessageEncoder().result(List.of(table.rows()), table.columns()));
            return;
        }
        if (front.ending()) { // what comes this late may not be finished; elsewhere it does no harm
            say(error("57P03", PgServer.SHUTTING_DOWN));
            return;
        }
        Query query;
        try {
            query = front.reader().read(Arrays.copyOf(body, body.length - 1), session.arrival());
        } catch (InvalidQueryFieldException e) {
            front.counters().increment(Count.QUERIES_MALFORMED);
            say(error("22023", e.getMessage()));
            return;
        }
        open = front.gateway().submit(query, this);
        waiting = open != 0;
        if (!waiting) {
            say(error("55006", "req: a query of this id is open"));
        }
    }

    /** The client no longer wants its answer; it is told so, as a server would. */
    void cancelled() {
        if (waiting) {
            front.gateway().abandon(open);
            answer(error("57014", "canceling statement due to user request"));
        }
    }

    // ---- what goes out ----

    @Override
    public boolean isClientWaiting() {
        session.poll();
        return waiting;
    }

    @Override
    public void onServed(List<byte[]> pages) {
        answer(new BackendMessageEncoder().result(pages, "c1", "c2", "c3"));
    }

    @Override
    public void onRejected(double coolDown, String why) {
        String wait = coolDown > 0 ? "; holdoff=" + Math.round(coolDown * 1000) : "";
        answer(error("53300", why + wait));
    }

    @Override
    public void onFailed(String why) {
        answer(error("58000", why));
    }

    private void answer(BackendMessageEncoder out) {
        waiting = false;
        session.answered(out.ready().bytes());
    }

    private void say(BackendMessageEncoder out) {
        session.write(out.ready().bytes());
    }

    private static BackendMessageEncoder error(String code, String why) {
        return new BackendMessageEncoder().error("ERROR", code, why);
    }

    /** The session has ended: nobody waits for an answer any more. */
    void end() {
        if (waiting) {
            waiting = false;
            front.gateway().abandon(open);
        }
    }
}
