package tillerlink.net.state;

/** One connection as seen from here; what is written goes out at the end of the turn, in order. */
public interface Pipe {
    void write(byte[] bytes);

    /** Ends it once all that was written has gone out. */
    void close();

    /** Ends it at once. */
    void drop();

    /** Stops or resumes reading from it. */
    void hold(boolean held);

    /** Told of what happens on a pipe, always by the one thread that owns the state. */
    interface Owner {
        void opened();

        void fed(byte[] bytes);

        /** The oldest write that was not yet told of has gone out whole. */
        void written();

        /** Told once; nothing follows. */
        void ended(Break how);
    }
}
