package tillerlink.net.wire;

/**
 * The answer to a request that succeeded. It holds the pages of the result as the engine sent them,
 * and encodes them as JSON only while they are sent.
 *
 * @param pages the pages of the result in order, each of which has passed {@link
 *     ResultEncoder#check}
 * @param closesConnection whether the connection is closed after the response
 */
public record ResultResponse(byte[][] pages, boolean closesConnection) implements ClientAnswer {
  @Override
  public ClientAnswer closingConnection() {
    return new ResultResponse(pages, true);
  }

  @Override
  public ResponseWriter writer() {
    ResultEncoder content = new ResultEncoder(pages);
    HttpResponse head =
        new HttpResponse(HttpStatus.OK, HttpResponse.NO_CONTENT, 0, closesConnection);
    return new ResponseWriter(head.encodeHead(content.remaining()), content);
  }

  @Override
  public int retainedBytes() {
    int bytes = 0;
    for (byte[] page : pages) {
      bytes += page.length;
    }
    return bytes;
  }
}
