package junipercourse.pg;

import java.util.List;
import junipercourse.core.Counters.Count;
import junipercourse.core.IdConflict;
import junipercourse.core.Query;
import junipercourse.core.ResponseHandler;
import junipercourse.core.StatusTables;

/**
 * Handles the messages of one client and sends the replies. At most one query is open at a time;
 * only {@link #onSessionClosed} and {@link #cancelQuery} abandon it.
 */
final class PgProtocolHandler implements ResponseHandler {
    private static final byte[] NO_MESSAGE = {};

    private final PgServer server;
    private final Session session;
    private boolean started;
    private boolean hasOpenQuery;
    private long queryHandle;

    PgProtocolHandler(PgServer server, Session session) {
        this.server = server;
        this.session = session;
    }

    /** Returns whether a query is open. */
    boolean hasOpenQuery() {
        return hasOpenQuery;
    }

    /** Whether a whole packet or message is buffered, or bytes that are none. */
    boolean hasNext(FrontendMessageDecoder decoder) {
        return started ? decoder.hasMessage() : decoder.hasStartupPacket();
    }

    /** Handles one packet or message, if {@link #hasNext}. */
    void handleNext(FrontendMessageDecoder decoder)
            throws FrontendMessageDecoder.MalformedMessageException {
        if (started) {
            handleMessage(decoder.nextMessage());
        } else {
            handleStartupPacket(StartupPacket.parse(decoder.nextStartupPacket().body()));
        }
    }

    private void handleStartupPacket(StartupPacket packet) {
        switch (packet.kind()) {
            case ENCRYPTION -> session.write(new byte[] {'N'});
            case CANCEL -> {
                if (packet.cancelTarget() != null) {
                    server.cancelRequests().handle(packet.cancelTarget());
                }
                session.closeLingering(NO_MESSAGE);
            }
            case START -> startSession(packet);
        }
    }

    private void startSession(StartupPacket packet) {
        started = true;
        if (session.isRejected()) { // also answers a query right after the start-up packet
            server.counters().increment(Count.CLIENTS_TURNED_AWAY);
            session.closeWithError("53300", "too many clients" + server.holdoffSuffix());
            return;
        }
        session.write(
                packet.greetingMessages(new CancelKey((int) session.slot, session.secret)).bytes());
    }

    private void handleMessage(FrontendMessageDecoder.Message message) {
        switch (message.type()) {
            case 'Q' -> handleQuery(message.body());
            case 'X' -> session.closeLingering(NO_MESSAGE);
            case 'H', 'S' -> {
                if (message.type() == 'S') {
                    sendReply(new BackendMessageEncoder());
                }
            }
            default -> {
                server.counters().increment(Count.CLIENTS_GARBLED);
                session.closeWithError(
                        "0A000",
                        "only simple queries are taken here, no message of type "
                                + (int) message.type());
            }
        }
    }

    private void handleQuery(byte[] body) {
        session.onQueryReceived();
        if (body.length == 0 || body[body.length - 1] != 0) {
            server.counters().increment(Count.CLIENTS_GARBLED);
            session.closeWithError("08P01", "a query without its end");
            return;
        }
        String text = QueryFieldParser.toText(body, body.length - 1);
        if (text.isBlank()) {
            sendReply(new BackendMessageEncoder().emptyQueryResponse());
            return;
        }
        String tableName = ShowStatement.tableName(text);
        StatusTables.Table table =
                tableName == null ? null : server.statusTables().table(tableName);
        if (table != null) {
            sendReply(
                    new BackendMessageEncoder().resultSet(List.of(table.rows()), table.columns()));
            return;
        }
        if (server.isShuttingDown()) { // might not finish; safe to retry elsewhere
            sendReply(errorResponse("57P03", PgServer.SHUTTING_DOWN));
            return;
        }
        Query query;
        try {
            query = server.fieldParser().parse(text, session.messageArrival());
        } catch (InvalidQueryFieldException e) {
            server.counters().increment(Count.QUERIES_MALFORMED);
            sendReply(errorResponse("22023", e.getMessage()));
            return;
        }
        queryHandle = server.gateway().submit(query, this);
        hasOpenQuery = queryHandle != 0;
        if (!hasOpenQuery) {
            sendReply(errorResponse("55006", describe(server.gateway().conflictOf(query))));
        }
    }

    private static String describe(IdConflict conflict) {
        return switch (conflict) {
            case OPEN -> "req: a query of this id is open";
            case ABANDONED -> "req: a query of this id may have run, and its client has left";
            case HELD_BY_ANOTHER_PROCESS ->
                    "req: another process of this dispatcher has taken a query of this id";
        };
    }

    /** Cancels the open query and reports this as a PostgreSQL server does. */
    void cancelQuery() {
        if (hasOpenQuery) {
            server.gateway().abandon(queryHandle);
            completeQuery(errorResponse("57014", "canceling statement due to user request"));
        }
    }

    @Override
    public boolean isClientWaiting() {
        session.readPending();
        return hasOpenQuery;
    }

    @Override
    public void onServed(List<byte[]> pages) {
        completeQuery(new BackendMessageEncoder().resultSet(pages, "c1", "c2", "c3"));
    }

    @Override
    public void onRejected(double retryAfterSeconds, String reason) {
        String holdoffSuffix =
                retryAfterSeconds > 0 ? "; holdoff=" + Math.round(retryAfterSeconds * 1000) : "";
        completeQuery(errorResponse("53300", reason + holdoffSuffix));
    }

    @Override
    public void onFailed(String reason) {
        completeQuery(errorResponse("58000", reason));
    }

    private void completeQuery(BackendMessageEncoder response) {
        hasOpenQuery = false;
        session.sendResponse(response.readyForQuery().bytes());
    }

    private void sendReply(BackendMessageEncoder reply) {
        session.write(reply.readyForQuery().bytes());
    }

    private static BackendMessageEncoder errorResponse(String code, String reason) {
        return new BackendMessageEncoder().errorResponse("ERROR", code, reason);
    }

    /** Abandons the open query, since its client has disconnected. */
    void onSessionClosed() {
        if (hasOpenQuery) {
            hasOpenQuery = false;
            server.gateway().abandon(queryHandle);
        }
    }
}
