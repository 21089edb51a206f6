package tillerlink.faultinjection.audit;

/**
 * An entry of a channel's log as a client of one gateway read it.
 *
 * @param place its place in the log, from 0
 * @param id its unique and permanent id
 * @param content the rest of what a client reads of it
 */
public record ChannelLogEntry(long place, String id, boolean stable, String content) {}
