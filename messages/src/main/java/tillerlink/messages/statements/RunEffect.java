package tillerlink.messages.statements;

/**
 * What running a statement a second time would do. The order is that of the wire: new ones come
 * last.
 */
public enum RunEffect {
  PURE,
  RECEIPTED,
  EFFECTFUL
}
