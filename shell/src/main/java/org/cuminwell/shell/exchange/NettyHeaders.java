package org.cuminwell.shell.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Converts between {@link HeaderList} and the headers of Netty. Stateless and thread safe. */
final class NettyHeaders {

  private NettyHeaders() {}

  static HeaderList read(HttpHeaders from) {
    List<Header> headers = new ArrayList<>(from.size());
    for (Iterator<Map.Entry<CharSequence, CharSequence>> i = from.iteratorCharSequence();
        i.hasNext(); ) {
      Map.Entry<CharSequence, CharSequence> header = i.next();
      headers.add(new Header(header.getKey().toString(), header.getValue().toString()));
    }
    return HeaderList.copyOf(headers);
  }

  static void write(HeaderList from, HttpHeaders to) {
    for (Header header : from) {
      to.add(header.name(), header.value());
    }
  }
}
