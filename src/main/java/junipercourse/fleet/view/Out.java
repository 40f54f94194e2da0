package junipercourse.fleet.view;

/** What a view wants done. Called within the view's own methods; must not call it back. */
public interface Out {
    /** One datagram to be sent. May be lost: whatever matters is said again. */
    void send(String address, Word word);

    /** What is known of the members has changed; the newest snapshot holds alone. */
    void changed(Snapshot snapshot);

    /** One line for people; at most a few for each change. */
    void log(String line);
}
