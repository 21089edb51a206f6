package tillerlink.members.probe;

import tillerlink.messages.members.Doubt;

/** One question to somebody, with all that is done until it is answered or given up. */
public final class Try {
    /** Who is asked, and why. */
    public enum Kind {
        /** A member that takes part, in its turn. */
        MEMBER,
        /** Whoever has a seed's address. */
        SEED,
        /** One that was given up. */
        GONE,
        /** One of whom others say that it lives. */
        HEARSAY,
        /** Another process under the own name. */
        RIVAL
    }

    final Kind kind;
    final long number;
    final String name;
    final String address;
    final Doubt doubt;
    final long startedAt;
    final long wait;
    int step;
    long nextAt;
    int relays;
    int refusals;
    boolean vouched;
    boolean done;

    Try(Kind kind, long number, String name, String address, Doubt doubt, long now, long wait) {
        this.kind = kind;
        this.number = number;
        this.name = name;
        this.address = address;
        this.doubt = doubt;
        startedAt = now;
        this.wait = wait;
        nextAt = now;
    }

    public Kind kind() {
        return kind;
    }

    public long number() {
        return number;
    }

    /** Empty for a seed. */
    public String name() {
        return name;
    }

    public String address() {
        return address;
    }

    public Doubt doubt() {
        return doubt;
    }

    public long startedAt() {
        return startedAt;
    }
}
