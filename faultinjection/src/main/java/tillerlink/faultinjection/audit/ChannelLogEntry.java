package tillerlink.faultinjection.audit;

/**
 * An entry of a channel's log as a client read it from one gateway.
 *
 * @param place the position of the entry in the log, from 0
 * @param id the unique id of the event, which never changes
 * @param stable whether the gateway reports that the place is final
 * @param content the other fields that the gateway returned, as text
 */
public record ChannelLogEntry(long place, String id, boolean stable, String content) {}
