package junipercourse.fleet.view;

import java.util.ArrayList;
import java.util.List;
import junipercourse.fleet.view.Word.Kind;

/**
 * Pages of a view: cuts our own into datagrams, and pulls those of a member whose digest differs from ours,
 * one page after the other, from one member at a time. Each side pulls for itself.
 */
final class Sync {
    /** Most pages told in a second, to all together. */
    private static final double TOLD_A_SECOND = 200;
    /** How often a page is asked for before the pull is given up. */
    private static final int TRIES_MOST = 4;

    private final Settings settings;
    private final Roll roll;
    private final Post post;
    private String from;
    private long number;
    private int page;
    private int tries;
    private double askedAt;
    private double nextPull;
    private double told;
    private double toldAt;

    Sync(Settings settings, Roll roll, Post post) {
        this.settings = settings;
        this.roll = roll;
        this.post = post;
    }

    /** Gives up what is being pulled. */
    void restart() {
        from = null;
    }

    /** A member's word bore another digest than ours. */
    void differs(Peer peer, double now) {
        if (from == null && now >= nextPull) {
            nextPull = now + settings.syncInterval();
            from = peer.st.name();
            number = post.number();
            page = 0;
            tries = 0;
            ask(peer, now);
        }
    }

    private void ask(Peer peer, double now) {
        askedAt = now;
        tries++;
        post.to(peer.st.address(), Kind.ASK_PAGE, number, "", List.of(), page, 0);
    }

    /** A page came: the next one is asked for. */
    void page(Word word, double now) {
        if (word.from().equals(from) && word.number() == number && word.page() == page) {
            page++;
            tries = 0;
            Peer peer = roll.get(from);
            if (page >= word.pages() || peer == null) {
                from = null;
            } else {
                ask(peer, now);
            }
        }
    }

    void tick(double now) {
        if (from != null && now - askedAt > 2 * settings.probeTimeout()) {
            Peer peer = roll.get(from);
            if (peer == null || !peer.st.present() || tries >= TRIES_MOST) {
                from = null;
            } else {
                ask(peer, now);
            }
        }
    }

    /** Answers a question for a page; what is known of {@code about} comes first, if it names somebody. */
    void tell(String address, Word question, double now) {
        told = Math.max(0, told - (now - toldAt) * TOLD_A_SECOND);
        toldAt = now;
        if (told >= TOLD_A_SECOND) {
            return;
        }
        told++;
        List<Statement> first = new ArrayList<>();
        Statement known = question.about().isEmpty() ? null : roll.known(question.about());
        if (known != null) {
            first.add(known);
        }
        int room = Word.STATEMENT_BYTES - post.self().bytes() - (known == null ? 0 : known.bytes());
        int most = settings.statements() - 2;
        int pages = 0;
        int count = 0;
        int bytes = 0;
        for (Peer peer : roll.peers()) {
            if (count == most || bytes + peer.st.bytes() > room) {
                pages++;
                count = 0;
                bytes = 0;
            }
            count++;
            bytes += peer.st.bytes();
            if (pages == question.page()) {
                first.add(peer.st);
            }
        }
        post.to(address, Kind.PAGE, question.number(), question.about(), first, question.page(), pages + 1);
    }
}
