package tillerlink.emulator;

import java.util.Arrays;

/**
 * What happens when, in virtual time: a heap of four branches over plain arrays. Of what is due at one moment, what was
 * put in first comes first.
 */
public final class Timeline {
    private static final int BRANCHES = 4;

    private long[] times = new long[1024];
    private long[] orders = new long[1024];
    private Runnable[] events = new Runnable[1024];
    private int size;
    private long put;
    private long now;

    public Timeline(long start) {
        now = start;
    }

    /** Tenths of a millisecond; never goes back. */
    public long now() {
        return now;
    }

    public int waiting() {
        return size;
    }

    /** What lies behind happens now. */
    public void at(long time, Runnable event) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        long due = Math.max(now, time);
        long order = put++;
        int place = size++;
        while (place > 0) {
            int above = (place - 1) / BRANCHES;
            if (times[above] < due || times[above] == due && orders[above] < order) {
                break;
            }
            move(above, place);
            place = above;
        }
        set(place, due, order, event);
    }

    /** When the next is due, or the longest time if none is. */
    public long next() {
        return size == 0 ? Long.MAX_VALUE : times[0];
    }

    /** Goes on to the next and lets it happen; false if there is none. */
    public boolean step() {
        if (size == 0) {
            return false;
        }
        Runnable event = events[0];
        now = times[0];
        size--;
        if (size > 0) {
            sink(times[size], orders[size], events[size]);
        }
        events[size] = null;
        event.run();
        return true;
    }

    /** Lets happen what is due by a moment of another clock, and goes on to it. */
    public void follow(long clock) {
        while (size > 0 && times[0] <= clock) {
            step();
        }
        now = Math.max(now, clock);
    }

    private void sink(long time, long order, Runnable event) {
        int place = 0;
        while (true) {
            int least = -1;
            for (int i = place * BRANCHES + 1; i <= place * BRANCHES + BRANCHES && i < size; i++) {
                if (least < 0 || times[i] < times[least] || times[i] == times[least] && orders[i] < orders[least]) {
                    least = i;
                }
            }
            if (least < 0 || time < times[least] || time == times[least] && order < orders[least]) {
                break;
            }
            move(least, place);
            place = least;
        }
        set(place, time, order, event);
    }

    private void move(int from, int to) {
        times[to] = times[from];
        orders[to] = orders[from];
        events[to] = events[from];
    }

    private void set(int place, long time, long order, Runnable event) {
        times[place] = time;
        orders[place] = order;
        events[place] = event;
    }
}
