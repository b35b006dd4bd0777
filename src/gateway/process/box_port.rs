//! The port for other boxes: messages, and requests that they forward.

use {
  crate::gateway::{
    connections::serve_port,
    membership::handle_message,
    requests::{FORWARD_PATH, ResponseBody, serve_forwarded},
    state::Gateway,
  },
  http::{Request, Response},
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::rc::Rc,
  tokio::net::TcpListener,
};

/// Serves calls of other boxes until the process exits.
pub(super) async fn serve_boxes(gateway: Rc<Gateway>, listener: TcpListener) {
  let handler = move |request| dispatch(gateway.clone(), request);
  serve_port(listener, "boxes", handler).await;
}

async fn dispatch(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
  if request.uri().path().starts_with(FORWARD_PATH) {
    return serve_forwarded(gateway, request).await;
  }
  let response = handle_message(gateway, request).await;
  response.map(|body| -> ResponseBody { Box::pin(body.map_err(|never| match never {})) })
}
