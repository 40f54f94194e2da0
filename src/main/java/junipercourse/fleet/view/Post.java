package junipercourse.fleet.view;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.view.Word.Kind;

/** Builds the words that we send: our own statement first, then what its reader must know, then news. */
final class Post {
    private final Settings settings;
    private final Roll roll;
    private final Rumours rumours;
    private final Out out;
    private Statement self;
    private long number;

    Post(Settings settings, Roll roll, Rumours rumours, Out out) {
        this.settings = settings;
        this.roll = roll;
        this.rumours = rumours;
        this.out = out;
    }

    /** Our own statement from now on; incarnation 0 while we have no life. */
    void self(Statement statement) {
        self = statement;
    }

    Statement self() {
        return self;
    }

    /** The number of a new question. */
    long number() {
        return ++number;
    }

    /** A word to a member; if we doubt him it says so, that he can refute it. */
    void toPeer(Peer peer, Kind kind, long question, String about, Statement extra) {
        List<Statement> first = new ArrayList<>();
        if (peer.st.standing() != Standing.ALIVE) {
            first.add(peer.st);
        }
        if (extra != null && !extra.name().equals(peer.st.name())) {
            first.add(extra);
        }
        to(peer.st.address(), kind, question, about, first, 0, 0);
    }

    /** A word to an address. */
    void to(String address, Kind kind, long question, String about, List<Statement> first, int page,
            int pages) {
        List<Statement> statements = new ArrayList<>();
        statements.add(self);
        statements.addAll(first);
        boolean living = self.incarnation() > 0;
        if (living && kind != Kind.PAGE) {
            rumours.fill(statements, settings.statements());
        }
        out.send(address, new Word(self.name(), self.incarnation(), kind, question, about,
            living ? roll.digest() : 0, statements, page, pages));
    }
}
