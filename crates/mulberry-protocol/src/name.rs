//! Names and identifiers, one type for each kind. They are shared strings that are cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! shared_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from text, without checking it.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

shared_name!(
    /// Name of a client account.
    ClientName
);
shared_name!(
    /// Name of an availability zone, such as `kochi-a`.
    ZoneName
);
shared_name!(
    /// Name by which callers request a model.
    ModelName
);
shared_name!(
    /// Version of a model's weights.
    ModelVersion
);
shared_name!(
    /// Name of a service of a deployment, such as `copywriter`.
    ServiceName
);
shared_name!(
    /// Version of the software that an endpoint runs. Versions have no order.
    SoftwareVersion
);
shared_name!(
    /// Name of an endpoint, which is a back end on its own VM.
    EndpointName
);
shared_name!(
    /// Name of an entry process.
    EntryName
);
shared_name!(
    /// Identifier of a batch job.
    JobId
);
shared_name!(
    /// Identifier of an uploaded file.
    FileId
);
shared_name!(
    /// Name of a person who operates the deployment.
    OperatorName
);
