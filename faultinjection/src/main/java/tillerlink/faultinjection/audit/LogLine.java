package tillerlink.faultinjection.audit;

/**
 * An entry of a channel's log as a gateway told it.
 *
 * @param place where it stands, from 0 on
 * @param id its own for ever
 * @param content all that a client reads of it but its place
 */
public record LogLine(long place, String id, boolean stable, String content) {}
