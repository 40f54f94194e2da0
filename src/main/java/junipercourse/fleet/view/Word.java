package junipercourse.fleet.view;

import java.util.List;

/**
 * The content of one datagram. The first statement is the sender's own, save in words that pass on what is
 * known of somebody else only; one with incarnation 0 tells no more than where to answer to.
 *
 * @param from the sender's name
 * @param fromIncarnation the sender's life; 0 while it has none
 * @param number the question's number, repeated in its answer
 * @param about {@code PING}, {@code PING_REQ}: who is asked for; {@code ACK}: who was heard; {@code
 *     ASK_PAGE}, {@code PAGE}: the name that the answer must tell of first, or empty
 * @param digest of the sender's view; 0 while it has no life
 * @param statements at most {@link #STATEMENTS_MOST}, together at most {@link #STATEMENT_BYTES} bytes
 * @param page number of the page asked for or sent, from 0
 * @param pages how many pages the sender's view has; 0 in words that are no page
 */
public record Word(String from, long fromIncarnation, Kind kind, long number, String about, long digest,
        List<Statement> statements, int page, int pages) {
    /**
     * Most bytes of all statements in a word, as {@link Statement#bytes} counts. A datagram has 1,200
     * bytes; 40 go to the fleet's name, 40 to the sender's, 40 to {@code about}, 80 to numbers, checksum
     * and tags.
     */
    public static final int STATEMENT_BYTES = 1000;
    /** Most statements in a word: as many of the shortest texts as {@link #STATEMENT_BYTES} hold. */
    public static final int STATEMENTS_MOST = STATEMENT_BYTES / (Statement.BYTES_OVER + 2);

    /** What a word is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** {@code about} was heard, after the question with this number. */
        ACK,
        /** Ask {@code about} for me. */
        PING_REQ,
        /** Tell me a page of your view. */
        ASK_PAGE,
        /** One page of the sender's view. */
        PAGE
    }

    /** Fails with IllegalArgumentException, naming the key, if a bound is broken. */
    public Word {
        Statement.text("from", from, Statement.NAME_MOST, 1);
        Statement.text("about", about, Statement.NAME_MOST, 0);
        statements = List.copyOf(statements);
        if (kind == null) {
            throw new IllegalArgumentException("kind: is missing");
        }
        if (fromIncarnation < 0 || page < 0 || pages < 0) {
            throw new IllegalArgumentException("fromIncarnation, page, pages: none may be below 0");
        }
        if (statements.size() > STATEMENTS_MOST || bytes(statements) > STATEMENT_BYTES) {
            throw new IllegalArgumentException("statements: " + statements.size() + " of " + bytes(statements)
                + " bytes do not fit a datagram");
        }
    }

    private static int bytes(List<Statement> statements) {
        int sum = 0;
        for (Statement statement : statements) {
            sum += statement.bytes();
        }
        return sum;
    }

    /** Most bytes of its datagram, without the fleet's name. */
    public int bytes() {
        return 80 + from.length() + about.length() + bytes(statements);
    }
}
